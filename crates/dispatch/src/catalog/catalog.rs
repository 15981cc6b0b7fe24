//! Assignment of keys to configured names.

use super::{
    Customer,
    Host,
    Pool,
    Snapshot,
    Upstream, //
};
use sassafrascrank_base::{
    hash,
    prelude::*, //
};
use sassafrascrank_contract::{
    Subject,
    Value, //
};
use slotmap::SlotMap;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// Assigns a key to each name and keeps it while the name is in the configuration.
///
/// A name that is removed and added again gets a new key, so that it can't reach state stored under the old one.
#[derive(Debug, Default)]
pub struct Catalog {
    zones: Interner<availability_zone::Key, Name>,
    customers: Interner<customer::Key, Name>,
    pools: Interner<pool::Key, Name>,
    upstreams: Interner<upstream::Key, Identity>,
}

/// Name and incarnation of the host, and name of the pool; an upstream keeps its key while all three are the same.
type Identity = (Name, u64, Name);

#[derive(Debug)]
struct Interner<K: slotmap::Key, T> {
    keys: BTreeMap<T, K>,
    arena: SlotMap<K, ()>,
}

impl Catalog {
    /// Creates an empty catalog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key of an availability zone; a new name gets a key.
    pub fn availability_zone(&mut self, name: &Name) -> availability_zone::Key {
        self.zones.intern(name)
    }

    /// Builds a snapshot from the configuration in force and the host list.
    ///
    /// `values` holds the current value of each configuration subject in any order, and `version` is the log offset
    /// up to which they include changes. `complete` tells whether the configuration may be used to admit requests.
    pub fn snapshot<'a>(
        &mut self,
        version: u64,
        complete: bool,
        values: impl Iterator<Item = (&'a Subject, &'a Value)> + Clone,
        hosts: &[Host],
    ) -> Snapshot {
        let pools = self.pools_in_force(values.clone());
        // Shares and upstreams must not refer to a pool that has just been removed.
        self.pools.retain(pools.iter().map(|pool| pool.key));
        let customers = self.customers_in_force(values.clone());
        let upstreams = self.upstreams_in_force(values, hosts);
        self.retain(&customers, &upstreams);
        Snapshot {
            version,
            complete,
            zones: self.zones.iter().collect(),
            customers,
            pools,
            upstreams,
        }
    }

    fn pools_in_force<'a>(
        &mut self,
        values: impl Iterator<Item = (&'a Subject, &'a Value)>,
    ) -> Vec<Pool> {
        values
            .filter_map(|(subject, value)| match (subject, value) {
                (Subject::Pool(name), Value::Pool(policy)) => Some(Pool {
                    key: self.pools.intern(name),
                    name: name.clone(),
                    policy: policy.clone(),
                }),
                _ => None,
            })
            .collect()
    }

    fn customers_in_force<'a>(
        &mut self,
        values: impl Iterator<Item = (&'a Subject, &'a Value)>,
    ) -> Vec<Customer> {
        let mut customers = Vec::new();
        for (subject, value) in values {
            let (Subject::Customer(name), Value::Contract(contract)) = (subject, value) else {
                continue;
            };
            let shares = contract.shares.iter();
            let shares = shares.filter_map(|(pool, share)| Some((self.pools.get(pool)?, *share)));
            customers.push(Customer {
                key: self.customers.intern(name),
                name: name.clone(),
                shares: shares.collect(),
                contract: contract.clone(),
            });
        }
        customers
    }

    fn upstreams_in_force<'a>(
        &mut self,
        values: impl Iterator<Item = (&'a Subject, &'a Value)>,
        hosts: &[Host],
    ) -> Vec<Upstream> {
        let assignments: BTreeMap<&Name, &Name> = values
            .filter_map(|(subject, value)| match (subject, value) {
                (Subject::Host(host), Value::Assignment(assignment)) => {
                    Some((host, &assignment.pool))
                }
                _ => None,
            })
            .collect();
        let mut upstreams = Vec::new();
        for host in hosts {
            let Some(&pool_name) = assignments.get(&host.name) else {
                continue;
            };
            let Some(pool) = self.pools.get(pool_name) else {
                continue;
            };
            let identity = (host.name.clone(), host.incarnation, pool_name.clone());
            upstreams.push(Upstream {
                key: self.upstreams.intern(&identity),
                id: hash::identity(&host.name, host.incarnation),
                host: host.name.clone(),
                incarnation: host.incarnation,
                pool,
                availability_zone: self.zones.intern(&host.availability_zone),
                zone: host.availability_zone.clone(),
                address: host.address,
                leaving: host.leaving,
            });
        }
        upstreams
    }

    fn retain(&mut self, customers: &[Customer], upstreams: &[Upstream]) {
        self.customers
            .retain(customers.iter().map(|customer| customer.key));
        self.upstreams
            .retain(upstreams.iter().map(|upstream| upstream.key));
    }
}

impl<K: slotmap::Key, T: Clone + Ord> Interner<K, T> {
    fn intern(&mut self, name: &T) -> K {
        if let Some(&key) = self.keys.get(name) {
            return key;
        }
        let key = self.arena.insert(());
        self.keys.insert(name.clone(), key);
        key
    }

    fn get(&self, name: &T) -> Option<K> {
        self.keys.get(name).copied()
    }

    fn iter(&self) -> impl Iterator<Item = (T, K)> + '_ {
        self.keys.iter().map(|(name, key)| (name.clone(), *key))
    }

    fn retain(&mut self, keys: impl Iterator<Item = K>) {
        let keep: BTreeSet<K> = keys.collect();
        self.keys.retain(|_, key| keep.contains(key));
        self.arena.retain(|key, ()| keep.contains(&key));
    }
}

impl<K: slotmap::Key, T> Default for Interner<K, T> {
    fn default() -> Self {
        Self {
            keys: BTreeMap::new(),
            arena: SlotMap::with_key(),
        }
    }
}
