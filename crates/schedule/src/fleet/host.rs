//! Hosts, as the host service lists them, and the orders to them.

use crate::runner;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Resource;
use std::sync::Arc;

slotmap::new_key_type! {
    /// Identifies a host within this process.
    pub struct Key;
}

/// State of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The host works.
    Up,
    /// The host is moving to another pool.
    Moving,
    /// The host is in maintenance.
    Maintenance,
    /// The host has failed.
    Down,
}

/// A host, as the host service lists it.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Name.
    pub name: Arc<str>,
    /// Pool.
    pub pool: Arc<str>,
    /// State of the host.
    pub state: State,
    /// Availability zone.
    pub zone: Arc<str>,
    /// All labels, among them the rack.
    pub labels: Box<[Arc<str>]>,
    /// What it can run at once.
    pub capacity: Resource,
    /// Name of its runner; `None` if it has none.
    pub runner: Option<Arc<str>>,
}

/// Result of an order to a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The order was carried out, now or before.
    Done,
    /// The host is not up, or it is leaving.
    Busy,
    /// The host service rejects the order as invalid for this host.
    Rejected,
    /// A later leader has given the host an order.
    Fenced,
    /// The host service refuses because of too many orders; nothing was done.
    Refused,
    /// The order was not sent, because no connection was free or its time was over; nothing was done.
    Unsent,
    /// No answer arrived; the order may have been carried out.
    Unknown,
}

/// An operation on a host that is not known to be finished.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// A move to another pool.
    Move(crate::queue::key::Pool),
    /// Maintenance in the wave of this number.
    Maintain(u64),
}

/// A host, and the operation on it.
#[derive(Clone, Debug)]
pub struct Host {
    /// The host, as last listed by the host service.
    pub listed: Listed,
    /// Number of host lists since then, which lacked it.
    pub misses: u32,
    /// Pool.
    pub pool: crate::queue::key::Pool,
    /// Operation that is not known to be finished.
    pub operation: Option<Operation>,
    /// Number of the latest order, by which late answers to earlier orders are recognised.
    pub number: u32,
    /// Incarnation of the runner that the operation ends.
    pub ending_runner: Option<runner::Key>,
    /// Whether an order of the operation got no answer and may have been carried out.
    pub in_doubt: bool,
    /// When the operation was last ordered.
    pub ordered_at: Time,
    /// Whether the operation has begun; it ends when the host list shows the host as up.
    pub carried_out: bool,
    /// Time before which the host gets no order, because the last one failed.
    pub retry_at: Time,
    /// Time since which its runner has had no runs; `None` if it has some.
    pub idle_since: Option<Time>,
    /// When the host was closed to new tasks ahead of an order.
    pub closed_since: Option<Time>,
}

impl Host {
    /// Returns whether it has the label.
    pub fn has_label(&self, label: &str) -> bool {
        self.listed.labels.iter().any(|own| **own == *label)
    }
}
