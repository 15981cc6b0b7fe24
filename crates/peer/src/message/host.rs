//! A host in the platform's host list.

use core::net::SocketAddr;
use sassafrascrank_base::prelude::Name;

/// A host as an entry last saw it in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: Name,
    /// Incarnation, the number of its current start.
    pub incarnation: u64,
    /// Availability zone of the host.
    pub zone: Name,
    /// Where its upstream accepts requests.
    pub address: SocketAddr,
    /// Whether it is leaving, so that it gets no new work.
    pub leaving: bool,
}
