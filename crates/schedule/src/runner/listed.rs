//! A runner, as the service list shows it.

use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Resource;
use std::sync::Arc;

/// A runner, as the service list shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Unique name.
    pub id: Arc<str>,
    /// Start of this incarnation, in Unix milliseconds.
    pub incarnation: u64,
    /// Host on which it runs.
    pub host: Arc<str>,
    /// Pool that the runner belongs to.
    pub pool: Arc<str>,
    /// Address for orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// All labels.
    pub labels: Box<[Arc<str>]>,
    /// Rack of the host.
    pub rack: Arc<str>,
    /// What it can run at once.
    pub capacity: Resource,
    /// Shortest time until the runner leaves; `None` unless it drains.
    pub draining: Option<Duration>,
    /// The runner's clock in milliseconds.
    pub clock: Option<u64>,
}

/// A change of the service list.
#[derive(Clone, Debug)]
pub enum Change {
    /// A runner was added or has changed.
    Set(Listed),
    /// The runner of this name is no longer listed.
    Removed(Arc<str>),
}
