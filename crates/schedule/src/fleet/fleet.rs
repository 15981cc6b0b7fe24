//! Hosts, maintenance waves and demand, as the leader knows them.

use super::{
    Demand,
    Host,
    Rate,
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

/// Hosts, maintenance waves and demand, as the leader knows them.
#[derive(Debug)]
pub struct Fleet {
    /// All hosts.
    pub(crate) hosts: SlotMap<host::Key, Host>,
    /// Hosts by name.
    pub(crate) index: HashMap<Arc<str>, host::Key>,
    /// Waves by number.
    pub(crate) waves: BTreeMap<u64, Wave>,
    /// Progress of waves that the log lacks: the number of a wave, and a host whose maintenance has begun, or `None` if
    /// the wave is done.
    pub(crate) unstored_waves: Vec<(u64, Option<Arc<str>>)>,
    /// When former leaders last gave orders to hosts. Such hosts get no orders for a while.
    pub(crate) former_orders: HashMap<Arc<str>, Time>,
    /// Hosts whose pending order is not in the log yet.
    pub(crate) unstored_orders: Vec<host::Key>,
    /// Number of host lists that were received.
    pub(crate) lists: u32,
    /// When the host list was requested, while the answer is pending.
    pub(crate) list_requested: Option<Time>,
    /// When the host list is requested next.
    pub(crate) next_list: Time,
    /// When decisions on hosts were last made.
    pub(crate) managed_at: Time,
    /// When the pools were last balanced.
    pub(crate) balanced_at: Time,
    /// Demand on the pools.
    pub(crate) demand: Demand,
    /// Limit on the rate of orders.
    pub(crate) rate: Rate,
    /// Number of hosts with an order that is not known to be carried out.
    pub(crate) outstanding: usize,
}

impl Fleet {
    /// Creates a fleet without hosts. `former_orders` says when former leaders last gave orders to hosts.
    pub fn new(former_orders: HashMap<Arc<str>, Time>, rate: Rate) -> Self {
        Self {
            hosts: SlotMap::with_key(),
            index: HashMap::new(),
            waves: BTreeMap::new(),
            unstored_waves: Vec::new(),
            former_orders,
            unstored_orders: Vec::new(),
            lists: 0,
            list_requested: None,
            next_list: Time::MIN,
            managed_at: Time::MIN,
            balanced_at: Time::MIN,
            demand: Demand::default(),
            rate,
            outstanding: 0,
        }
    }

    /// Counts the hosts with an order that is not known to be carried out.
    pub(crate) fn count_outstanding(&mut self) {
        let ordered = |host: &&Host| host.operation.is_some() && !host.carried_out;
        self.outstanding = self.hosts.values().filter(ordered).count();
    }

    /// Returns the number of hosts of a wave that are in maintenance or may be, because this leader or a former one has
    /// given them an order.
    ///
    /// `blocked` returns whether the host list may not reflect yet an order that a former leader gave at the given
    /// time.
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
