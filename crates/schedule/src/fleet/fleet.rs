//! What the leader knows of the hosts.

use super::{
    Demand,
    Host,
    Wave,
    host, //
};
use sassafrascrank_base::prelude::*;
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
    /// Waves with hosts whose maintenance has begun, or `None` for their end, that the log lacks.
    pub(crate) unstored_waves: Vec<(u64, Option<Arc<str>>)>,
    /// When former leaders last ordered hosts, which are left alone for a while after that.
    pub(crate) former_orders: HashMap<Arc<str>, Time>,
    /// Hosts to be ordered that the log does not name as such.
    pub(crate) unstored_orders: Vec<host::Key>,
    /// When the host list was asked for, while no answer has come.
    pub(crate) list_requested: Option<Time>,
    /// When the host list is asked for next.
    pub(crate) next_list: Time,
    /// When the hosts were last looked at for moves.
    pub(crate) balanced_at: Time,
    /// What the pools are asked to do.
    pub(crate) demand: Demand,
}

impl Fleet {
    /// Makes a fleet without hosts; former leaders ordered those in `before`.
    pub fn new(former_orders: HashMap<Arc<str>, Time>) -> Self {
        Self {
            hosts: SlotMap::with_key(),
            index: HashMap::new(),
            waves: BTreeMap::new(),
            unstored_waves: Vec::new(),
            former_orders,
            unstored_orders: Vec::new(),
            list_requested: None,
            next_list: Time::MIN,
            balanced_at: Time::MIN,
            demand: Demand::default(),
        }
    }

    /// Returns the hosts of a wave that are in maintenance, or that this leader or a former one may have ordered to it.
    ///
    /// `blocked` tells whether an order by a former leader at some time may not show in the host list yet.
    pub fn in_maintenance(&self, wave: &Wave, blocked: impl Fn(Time) -> bool) -> usize {
        let down = |name: &&Arc<str>| {
            let host = self.index.get(*name).map(|&key| &self.hosts[key]);
            host.is_some_and(|host| {
                host.listed.state == host::State::Maintenance
                    || matches!(host.operation, Some(host::Operation::Maintain(_)))
            }) || self.former_orders.get(*name).is_some_and(|&at| blocked(at))
        };
        wave.hosts.iter().filter(down).count()
    }
}
