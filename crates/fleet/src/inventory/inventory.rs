//! Arenas of pools, hosts, zones and racks.

use super::{
    Health,
    Host,
    Observation,
    Pool,
    rack, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Subject,
    Value, //
};
use slotmap::SlotMap;
use std::collections::BTreeMap;

/// Everything that decisions about the fleet read.
///
/// Pools and hosts are bounded by the limits of the ledger. Hosts that only the platform lists are kept without a
/// pool until [`forget`](Self::forget).
#[derive(Default)]
pub struct Inventory {
    pools: SlotMap<pool::Key, Pool>,
    hosts: SlotMap<host::Key, Host>,
    zones: SlotMap<availability_zone::Key, Name>,
    racks: SlotMap<rack::Key, Name>,
    pool_index: BTreeMap<Name, pool::Key>,
    host_index: BTreeMap<Name, host::Key>,
    zone_index: BTreeMap<Name, availability_zone::Key>,
    rack_index: BTreeMap<Name, rack::Key>,
    floor: u64,
    observed: Time,
}

impl Inventory {
    /// Folds a value in force at `offset`, which was read at `now`.
    ///
    /// Subjects other than pools, hosts and reservations have no effect.
    pub fn set(&mut self, subject: &Subject, offset: u64, value: &Value, now: Time) {
        match (subject, value) {
            (Subject::Pool(name), value) => {
                let key = self.intern_pool(name);
                let pool = &mut self.pools[key];
                pool.offset = offset;
                pool.policy = match value {
                    Value::Pool(policy) => Some(policy.clone()),
                    _ => None,
                };
            }
            (Subject::Host(name), Value::Assignment(assignment)) => {
                let pool = self.intern_pool(&assignment.pool);
                self.assign(name, Some(pool), offset);
            }
            (Subject::Host(name), _) => self.assign(name, None, offset),
            (Subject::Reservation(name), value) => {
                let key = self.intern_pool(name);
                let reservation = match value {
                    Value::Reservation(reservation) => reservation.clone(),
                    _ => Default::default(),
                };
                self.pools[key].set_reservation(reservation, offset, now);
            }
            (Subject::Customer(_), _) => {}
        }
    }

    /// Sets the basis of a subject that never had a value; it is what the ledger returns for an absent one.
    pub fn set_floor(&mut self, floor: u64) {
        self.floor = floor;
    }

    /// Sets zone and rack of a host; racks of different zones have different names.
    pub fn set_location(&mut self, host: &Name, zone: &Name, rack: &Name) {
        let key = self.intern_host(host);
        let zone = intern(&mut self.zones, &mut self.zone_index, zone);
        let rack = intern(&mut self.racks, &mut self.rack_index, rack);
        self.hosts[key].location = Some((zone, rack));
    }

    /// Takes the platform's report of a host.
    pub fn observe(&mut self, host: &Name, observation: Observation) {
        let key = self.intern_host(host);
        let host = &mut self.hosts[key];
        if let Health::Failed { since } = observation.health {
            host.failed_at = host.failed_at.max(Some(since));
        }
        host.observation = Some(observation);
    }

    /// Notes that the platform's reports are complete as of `now`.
    pub fn set_observed(&mut self, now: Time) {
        self.observed = now;
    }

    /// Returns when the platform's reports were last complete.
    pub fn observed(&self) -> Time {
        self.observed
    }

    /// Drops a host that the platform no longer lists and that no pool has.
    pub fn forget(&mut self, host: &Name) {
        let Some(&key) = self.host_index.get(host) else {
            return;
        };
        if self.hosts[key].pool.is_none() {
            self.hosts.remove(key);
            self.host_index.remove(host);
        }
    }

    /// Returns the configured pools, ordered by name.
    pub fn pools(&self) -> impl Iterator<Item = (pool::Key, &Pool)> + Clone {
        let keys = self.pool_index.values();
        keys.map(|&key| (key, &self.pools[key]))
            .filter(|(_, pool)| pool.policy.is_some())
    }

    /// Returns the hosts of a pool, ordered by name.
    pub fn hosts(&self, pool: pool::Key) -> impl Iterator<Item = (host::Key, &Host)> + Clone {
        let keys = self.pools.get(pool).map_or(&[][..], |pool| &pool.hosts);
        keys.iter().map(|&key| (key, &self.hosts[key]))
    }

    /// Returns a pool.
    pub fn pool(&self, key: pool::Key) -> Option<&Pool> {
        self.pools.get(key)
    }

    /// Returns a host.
    pub fn host(&self, key: host::Key) -> Option<&Host> {
        self.hosts.get(key)
    }

    /// Returns the key of a pool.
    pub fn find_pool(&self, name: &Name) -> Option<pool::Key> {
        self.pool_index.get(name).copied()
    }

    /// Returns the key of a host.
    pub fn find_host(&self, name: &Name) -> Option<host::Key> {
        self.host_index.get(name).copied()
    }

    /// Returns the name of a zone.
    pub fn zone(&self, key: availability_zone::Key) -> Option<&Name> {
        self.zones.get(key)
    }

    /// Returns the name of a rack.
    pub fn rack(&self, key: rack::Key) -> Option<&Name> {
        self.racks.get(key)
    }

    /// Returns the basis that a change of the pool's reservation needs.
    pub fn basis(&self, pool: &Pool) -> u64 {
        pool.basis.unwrap_or(self.floor)
    }

    fn assign(&mut self, name: &Name, pool: Option<pool::Key>, offset: u64) {
        let key = self.intern_host(name);
        let before = core::mem::replace(&mut self.hosts[key].pool, pool);
        self.hosts[key].offset = offset;
        if before == pool {
            return;
        }
        if let Some(before) = before.and_then(|before| self.pools.get_mut(before)) {
            before.hosts.retain(|&other| other != key);
        }
        let Some(pool) = pool else {
            return;
        };
        let hosts = &self.hosts;
        let list = &mut self.pools[pool].hosts;
        let at = list.partition_point(|&other| hosts[other].name < *name);
        list.insert(at, key);
    }

    fn intern_pool(&mut self, name: &Name) -> pool::Key {
        let pools = &mut self.pools;
        let entry = self.pool_index.entry(name.clone());
        *entry.or_insert_with(|| {
            pools.insert(Pool {
                name: name.clone(),
                policy: None,
                offset: 0,
                reservation: Default::default(),
                basis: None,
                hosts: Vec::new(),
                read: BTreeMap::new(),
            })
        })
    }

    fn intern_host(&mut self, name: &Name) -> host::Key {
        if let Some(&key) = self.host_index.get(name) {
            return key;
        }
        let hosts = &mut self.hosts;
        let entry = self.host_index.entry(name.clone());
        *entry.or_insert_with(|| {
            hosts.insert(Host {
                name: name.clone(),
                pool: None,
                offset: 0,
                location: None,
                observation: None,
                failed_at: None,
            })
        })
    }
}

fn intern<K: slotmap::Key>(
    arena: &mut SlotMap<K, Name>,
    index: &mut BTreeMap<Name, K>,
    name: &Name,
) -> K {
    let entry = index.entry(name.clone());
    *entry.or_insert_with(|| arena.insert(name.clone()))
}
