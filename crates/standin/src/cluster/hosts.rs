//! The host service: moves and maintenance.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// What a host does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It works.
    Up,
    /// It moves to another pool until then.
    Moving(Duration),
    /// It is maintained until then.
    Maintenance(Duration),
}

/// A host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Pool.
    pub pool: String,
    /// What it does.
    pub phase: Phase,
    /// Waves whose maintenance it has begun.
    pub maintained: Vec<u64>,
    /// Holder and token of each order, for checks.
    pub orders: Vec<(String, u64)>,
}

/// All hosts.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    /// Hosts by name.
    pub hosts: BTreeMap<String, Host>,
    /// How long a move takes.
    pub move_time: Duration,
    /// How long maintenance takes.
    pub maintenance_time: Duration,
    /// Most hosts of one wave in maintenance at once that were seen, for checks.
    pub max_in_maintenance: usize,
}

impl Hosts {
    /// Adds a host that works.
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

    /// Returns the hosts that have just come back.
    pub fn advance(&mut self, now: Duration) -> Vec<String> {
        let mut back = Vec::new();
        for (name, host) in &mut self.hosts {
            if let Phase::Moving(until) | Phase::Maintenance(until) = host.phase
                && until <= now
            {
                host.phase = Phase::Up;
                back.push(name.clone());
            }
        }
        back
    }

    /// Moves a host; `None` if there is no such host, `Some(false)` if it is not up.
    pub fn relocate(
        &mut self,
        name: &str,
        pool: &str,
        by: (&str, u64),
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
        host.orders.push((by.0.to_owned(), by.1));
        host.pool = pool.to_owned();
        host.phase = Phase::Moving(until);
        Some(true)
    }

    /// Begins maintenance; `None` if there is no such host, `Some(false)` if it is not up.
    pub fn maintain(
        &mut self,
        name: &str,
        wave: u64,
        by: (&str, u64),
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
        host.orders.push((by.0.to_owned(), by.1));
        host.maintained.push(wave);
        host.phase = Phase::Maintenance(until);
        let down = |host: &&Host| matches!(host.phase, Phase::Maintenance(_));
        self.max_in_maintenance = self
            .max_in_maintenance
            .max(self.hosts.values().filter(down).count());
        Some(true)
    }
}
