//! A runner in the service list.

use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Resource;
use std::sync::Arc;

/// A runner in the service list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Identity.
    pub id: Arc<str>,
    /// Start of this life, Unix milliseconds.
    pub born: u64,
    /// Host on which it runs.
    pub host: Arc<str>,
    /// Pool that it belongs to.
    pub pool: Arc<str>,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// All labels.
    pub labels: Box<[Arc<str>]>,
    /// Rack of the host.
    pub rack: Arc<str>,
    /// What it can run at once.
    pub capacity: Resource,
    /// It will leave, at the earliest after this time.
    pub draining: Option<Duration>,
    /// Its clock in milliseconds.
    pub clock: Option<u64>,
}

/// A change of the service list.
#[derive(Clone, Debug)]
pub enum Change {
    /// A runner is listed.
    Set(Listed),
    /// A runner is no longer listed.
    Removed(Arc<str>),
}
