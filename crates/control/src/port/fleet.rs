//! Host service of the platform, which moves and maintains hosts.

use core::future::Future;
use sassafrascrank_schedule::fleet::host::{
    Listed,
    Outcome, //
};

/// Connections to the host service. `fence` is the epoch of the leader; the service refuses orders with an older one.
pub trait Fleet: 'static {
    /// Lists all hosts, or returns `None` if the service does not answer.
    fn hosts(&self) -> impl Future<Output = Option<Vec<Listed>>>;

    /// Moves a host to another pool.
    fn relocate(&self, host: &str, pool: &str, fence: u64) -> impl Future<Output = Outcome>;

    /// Begins the maintenance of a host for a wave.
    fn maintain(&self, host: &str, wave: u64, fence: u64) -> impl Future<Output = Outcome>;
}
