//! One simulated entry. All times are in milliseconds.

use sassafrascrank_base::prelude::{
    Name,
    Time, //
};
use sassafrascrank_claim::{
    lease::{
        self,
        Lease, //
    },
    member::{
        Entry,
        Fold, //
    },
    table::{
        Limit,
        Size,
        Table, //
    },
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Reply;

impl Size for Reply {
    fn size(&self) -> usize {
        100
    }
}

/// Bounds with a short outage limit, so that schedules of a minute reach it.
pub(crate) const LIMIT: lease::Limit = lease::Limit {
    outage: Duration::from_secs(20),
    ..lease::Limit::DEFAULT
};

const TABLE: Limit = Limit {
    requests: 256,
    total_bytes: 1 << 24,
    ..Limit::DEFAULT
};

pub(crate) struct Node {
    pub(crate) lease: Lease,
    pub(crate) table: Table<Reply>,
    pub(crate) up: bool,
    pub(crate) paused_until: u64,
    pub(crate) log_cut_until: u64,
    pub(crate) restart_at: u64,
    pub(crate) departed_at: Option<u64>,
    pub(crate) leaving_since: Option<u64>,
    /// When the first and the last message of each peer arrived.
    pub(crate) heard: BTreeMap<Entry, (u64, u64)>,
    /// Difference of its clock from the simulated time.
    pub(crate) skew: i64,
}

impl Node {
    pub(crate) fn new(index: usize, incarnation: u64, skew: i64) -> Self {
        let host = Name::new(&format!("h{index}")).unwrap();
        let me = Entry { host, incarnation };
        Self {
            lease: Lease::new(me, zone(), LIMIT, Fold::default()),
            table: Table::new(TABLE),
            up: true,
            paused_until: 0,
            log_cut_until: 0,
            restart_at: 0,
            departed_at: None,
            leaving_since: None,
            heard: BTreeMap::new(),
            skew,
        }
    }

    pub(crate) fn clock(&self, now: u64) -> Time {
        Time::from_millis(now.checked_add_signed(self.skew).unwrap())
    }

    pub(crate) fn entry(&self) -> &Entry {
        self.lease.me()
    }

    /// Returns the other members of the zone in this node's view.
    pub(crate) fn peers(&self) -> Vec<Entry> {
        let zone = self.lease.view().zone(&zone());
        let members = zone.iter().flat_map(|zone| &zone.members);
        let others = members.filter(|member| member.entry != *self.entry());
        others.map(|member| member.entry.clone()).collect()
    }
}

pub(crate) fn zone() -> Name {
    Name::new("suva").unwrap()
}
