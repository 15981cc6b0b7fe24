//! Look-up of customers by credential and of pools by name.

use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model;
use sassafrascrank_dispatch::Snapshot;
use sha2::{
    Digest,
    Sha256, //
};
use std::{
    collections::HashMap,
    hash::{
        BuildHasher,
        RandomState, //
    },
    sync::Arc, //
};
use subtle::ConstantTimeEq;

/// Customers and pools of the configuration in force, as an exchange thread needs them.
#[derive(Debug, Default)]
pub struct Directory {
    accounts: Vec<Account>,
    /// Positions in `accounts` by the keyed hash of the credential's digest.
    ///
    /// Of two digests with the same 64-bit hash only one would be found. With 1,000 customers the probability is 3e-14,
    /// and the next configuration uses a new hash key.
    index: HashMap<u64, usize>,
    hash_key: RandomState,
    pools: HashMap<Name, pool::Key>,
}

/// Customer that a credential identifies.
#[derive(Clone, Debug)]
pub struct Account {
    /// Key of the customer.
    pub key: customer::Key,
    /// Name of the customer.
    pub name: Name,
    /// Contract in force.
    pub contract: Arc<model::Contract>,
}

impl Directory {
    /// Returns the customer whose contract contains the digest of `credential`.
    ///
    /// The hash uses a secret key of this process, so the duration of the look-up reveals nothing about the digests,
    /// and the final comparison takes constant time.
    pub fn authenticate(&self, credential: &[u8]) -> Option<&Account> {
        let digest = Sha256::digest(credential);
        let position = self.index.get(&self.hash_key.hash_one(digest.as_slice()))?;
        let account = self.accounts.get(*position)?;
        let equal = account.contract.digest.ct_eq(digest.as_slice());
        bool::from(equal).then_some(account)
    }

    /// Returns the key of the pool called `name`.
    pub fn pool(&self, name: &str) -> Option<pool::Key> {
        self.pools.get(name).copied()
    }
}

impl From<&Snapshot> for Directory {
    fn from(snapshot: &Snapshot) -> Self {
        let accounts = snapshot.customers.iter().map(|customer| Account {
            key: customer.key,
            name: customer.name.clone(),
            contract: customer.contract.clone(),
        });
        let pools = snapshot
            .pools
            .iter()
            .map(|pool| (pool.name.clone(), pool.key));
        let accounts: Vec<Account> = accounts.collect();
        let hash_key = RandomState::new();
        let index = accounts
            .iter()
            .enumerate()
            .map(|(position, account)| (hash_key.hash_one(&account.contract.digest[..]), position))
            .collect();
        Self {
            accounts,
            index,
            hash_key,
            pools: pools.collect(),
        }
    }
}
