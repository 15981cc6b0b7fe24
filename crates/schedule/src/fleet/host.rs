//! A host, as the host service shows it.

use crate::runner;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Resource;
use std::sync::Arc;

slotmap::new_key_type! {
    /// Identifies a host within one process.
    pub struct Key;
}

/// What a host does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It works.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is being maintained.
    Maintenance,
    /// It has failed.
    Down,
}

/// A host in the host service's list.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Name.
    pub name: Arc<str>,
    /// Pool.
    pub pool: Arc<str>,
    /// What it does.
    pub state: State,
    /// Availability zone.
    pub zone: Arc<str>,
    /// All labels, with the rack among them.
    pub labels: Box<[Arc<str>]>,
    /// What it can run at once.
    pub capacity: Resource,
    /// Its runner, if it has one.
    pub runner: Option<Arc<str>>,
}

/// What came of an order to a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was carried out, now or before.
    Done,
    /// The host is not up, or it leaves.
    Busy,
    /// The order makes no sense for this host.
    Rejected,
    /// A later leader has ordered it.
    Fenced,
    /// Too many orders; nothing was done.
    Refused,
    /// The order may have been carried out.
    Unknown,
}

/// An order that is not known to be finished.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// A move to a pool.
    Move(crate::queue::key::Pool),
    /// The maintenance of a wave.
    Maintain(u64),
}

/// A host and what was ordered for it.
#[derive(Clone, Debug)]
pub struct Host {
    /// As the host service last showed it.
    pub listed: Listed,
    /// Pool.
    pub pool: crate::queue::key::Pool,
    /// Order that is not known to be finished.
    pub operation: Option<Operation>,
    /// Number of the latest order, so that answers to earlier ones can be told apart.
    pub number: u32,
    /// Life of the runner that the order ends.
    pub ending_runner: Option<runner::Key>,
    /// A try of the order got no answer and may have been carried out.
    pub in_doubt: bool,
    /// When it was last ordered.
    pub ordered_at: Time,
    /// The order was carried out; the host is on its way.
    pub carried_out: bool,
    /// No order before this time, since the last one failed.
    pub retry_at: Time,
    /// Since when its runner has had no runs; `None` if it has some.
    pub idle_since: Option<Time>,
    /// When it was closed to new work, for an order that follows.
    pub closed_since: Option<Time>,
}

impl Host {
    /// Tells whether it has the label.
    pub fn has_label(&self, label: &str) -> bool {
        self.listed.labels.iter().any(|own| **own == *label)
    }
}
