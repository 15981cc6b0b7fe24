//! Client accounts: who may send requests, and how much each may use.

use core::fmt;
use sassafrascrank_job::Resource;
use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc, //
};

/// Identifies an account within one [`Accounts`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(u32);

/// Secret by which a caller shows for which account it acts. Its debug output does not contain it.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct Credential(Box<str>);

impl Credential {
    /// Wraps a secret.
    pub fn new(secret: impl Into<Box<str>>) -> Self {
        Self(secret.into())
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Credential(hidden)")
    }
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Unique name.
    pub name: Arc<str>,
    /// Share of the account when all capacity is in use, and the number of jobs that it may submit a second, in thousandths
    /// of a job.
    pub weight: u32,
    /// Largest amount of each resource that the running tasks of the account may have on all runners together; 0 stands
    /// for no limit.
    pub cap: Resource,
}

/// The accounts of a configuration can't be used. No message contains a credential.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// Two accounts have the same name.
    #[error("two accounts have the name {0:?}: rename one of them")]
    Name(Arc<str>),
    /// Two accounts have the same credential.
    #[error("the accounts {0:?} and {1:?} list the same key: remove it from one of them")]
    Credential(Arc<str>, Arc<str>),
    /// An account lists a credential twice.
    #[error("the account {0:?} lists a key twice: remove it once")]
    Repeated(Arc<str>),
}

/// The accounts of a configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Accounts {
    arena: Vec<Account>,
    names: HashMap<Arc<str>, Key>,
    credentials: HashMap<Credential, Key>,
}

impl Accounts {
    /// Adds an account with its credentials.
    ///
    /// # Errors
    ///
    /// Fails if the name or a credential is already in use. Nothing is added then.
    pub fn insert(
        &mut self,
        account: Account,
        credentials: impl IntoIterator<Item = Credential>,
    ) -> Result<Key, Error> {
        let name = &account.name;
        if self.names.contains_key(name) {
            return Err(Error::Name(Arc::clone(name)));
        }
        let mut added = HashSet::new();
        for credential in credentials {
            if let Some(other) = self.authenticate(&credential) {
                let other = Arc::clone(&other.name);
                return Err(Error::Credential(other, Arc::clone(name)));
            }
            if !added.insert(credential) {
                return Err(Error::Repeated(Arc::clone(name)));
            }
        }
        let key = Key(self.arena.len() as u32);
        self.names.insert(Arc::clone(name), key);
        let added = added.into_iter().map(|credential| (credential, key));
        self.credentials.extend(added);
        self.arena.push(account);
        Ok(key)
    }

    /// Returns the account that a credential belongs to.
    pub fn authenticate(&self, credential: &Credential) -> Option<&Account> {
        let key = *self.credentials.get(credential)?;
        Some(&self.arena[key.0 as usize])
    }

    /// Returns the account with a name.
    pub fn find(&self, name: &str) -> Option<&Account> {
        let key = *self.names.get(name)?;
        Some(&self.arena[key.0 as usize])
    }

    /// Returns all accounts in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.arena.iter()
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Tells whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }
}
