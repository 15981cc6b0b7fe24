//! State of the host service: moves and maintenance.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// State of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It is in operation.
    Up,
    /// It moves to another pool until this time.
    Moving(Duration),
    /// It is in maintenance until this time.
    Maintenance(Duration),
}

/// A host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the pool.
    pub pool: String,
    /// State.
    pub phase: Phase,
    /// Waves in which its maintenance has begun.
    pub maintained: Vec<u64>,
    /// Lease holder and fencing token of each order, for assertions.
    pub orders: Vec<(String, u64)>,
}

/// All hosts.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    /// Hosts by name.
    pub hosts: BTreeMap<String, Host>,
    /// Duration of a move.
    pub move_time: Duration,
    /// Duration of maintenance.
    pub maintenance_time: Duration,
    /// Largest number of hosts that were in maintenance at once, for assertions.
    pub max_in_maintenance: usize,
}

impl Hosts {
    /// Adds a host in operation.
    pub fn add(&mut self, name: &str, pool: &str) {
        self.hosts.insert(
            name.to_owned(),
            Host {
                pool: pool.to_owned(),
                phase: Phase::Up,
                maintained: Vec::new(),
                orders: Vec::new(),
            },
        );
    }

    /// Ends moves and maintenance that are due, and returns the hosts that are up again.
    pub fn advance(&mut self, now: Duration) -> Vec<String> {
        let mut returned = Vec::new();
        for (name, host) in &mut self.hosts {
            if let Phase::Moving(until) | Phase::Maintenance(until) = host.phase
                && until <= now
            {
                host.phase = Phase::Up;
                returned.push(name.clone());
            }
        }
        returned
    }

    /// Starts the move of a host; `None` if there is no such host, `Some(false)` if it is not up.
    pub fn relocate(
        &mut self,
        name: &str,
        pool: &str,
        issuer: (&str, u64),
        now: Duration,
    ) -> Option<bool> {
        let until = now + self.move_time;
        let host = self.hosts.get_mut(name)?;
        if host.pool == pool {
            return Some(true);
        }
        if host.phase != Phase::Up {
            return Some(false);
        }
        host.orders.push((issuer.0.to_owned(), issuer.1));
        host.pool = pool.to_owned();
        host.phase = Phase::Moving(until);
        Some(true)
    }

    /// Starts maintenance of a host; `None` if there is no such host, `Some(false)` if it is not up.
    pub fn maintain(
        &mut self,
        name: &str,
        wave: u64,
        issuer: (&str, u64),
        now: Duration,
    ) -> Option<bool> {
        let until = now + self.maintenance_time;
        let host = self.hosts.get_mut(name)?;
        if host.maintained.contains(&wave) {
            return Some(true);
        }
        if host.phase != Phase::Up {
            return Some(false);
        }
        host.orders.push((issuer.0.to_owned(), issuer.1));
        host.maintained.push(wave);
        host.phase = Phase::Maintenance(until);
        let in_maintenance = |host: &&Host| matches!(host.phase, Phase::Maintenance(_));
        self.max_in_maintenance = self
            .max_in_maintenance
            .max(self.hosts.values().filter(in_maintenance).count());
        Some(true)
    }
}
