//! What the leader knows of the hosts.

use super::{
    Demand,
    Host,
    Wave,
    host, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::record;
use slotmap::SlotMap;
use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc,
};

/// What the leader knows of the hosts.
#[derive(Debug)]
pub struct Fleet {
    /// All hosts.
    pub(crate) hosts: SlotMap<host::Key, Host>,
    /// Hosts by name.
    pub(crate) index: HashMap<Arc<str>, host::Key>,
    /// Waves by number.
    pub(crate) waves: BTreeMap<u64, Wave>,
    /// Waves whose progress the log lacks.
    pub(crate) unstored: Vec<u64>,
    /// No order to a host before this time, since the former leader may have given one.
    pub(crate) orders_from: Time,
    /// When the host list was asked for, while no answer has come.
    pub(crate) asked: Option<Time>,
    /// When the host list is asked for next.
    pub(crate) ask_at: Time,
    /// When the hosts were last looked at for moves.
    pub(crate) balanced: Time,
    /// What the pools are asked to do.
    pub(crate) demand: Demand,
}

impl Fleet {
    /// Makes a fleet without hosts, to which no order is given before `orders_from`.
    pub fn new(orders_from: Time) -> Self {
        Self {
            hosts: SlotMap::with_key(),
            index: HashMap::new(),
            waves: BTreeMap::new(),
            unstored: Vec::new(),
            orders_from,
            asked: None,
            ask_at: Time::MIN,
            balanced: Time::MIN,
            demand: Demand::default(),
        }
    }

    /// Returns the durable state of a wave.
    pub fn record(&self, number: u64, epoch: u64) -> Option<record::Wave> {
        let wave = self.waves.get(&number)?;
        Some(record::Wave {
            number,
            epoch,
            begun: wave.begun.iter().cloned().collect(),
            done: wave.done,
        })
    }

    /// Returns the hosts of a wave that are in maintenance or ordered to it.
    pub fn in_maintenance(&self, wave: &Wave) -> usize {
        let hosts = wave.hosts.iter().filter_map(|name| self.index.get(name));
        hosts
            .filter(|&&key| {
                let host = &self.hosts[key];
                host.listed.state == host::State::Maintenance
                    || matches!(host.task, Some(host::Task::Maintain(_)))
            })
            .count()
    }
}
