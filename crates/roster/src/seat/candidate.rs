//! Holder of a seat.

use core::net::SocketAddr;
use std::sync::Arc;

/// Holder of a seat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the entry.
    pub name: Arc<str>,
    /// Start of the process in microseconds since the Unix epoch, which tells restarts of an entry apart.
    pub incarnation: u64,
    /// Address at which it answers requests that other entries pass on.
    pub address: SocketAddr,
    /// Address at which it carries out orders of a leader.
    pub executor: SocketAddr,
    /// Processor capacity in thousandths of a core.
    pub capacity: u32,
    /// Whether it leads. Other candidates are preferred for callers' requests.
    pub leads: bool,
}
