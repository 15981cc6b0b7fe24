//! Orders to the host service.

use core::future::Future;
use sassafrascrank_schedule::fleet::host::{
    Listed,
    Outcome, //
};

/// Orders to the host service.
pub trait Fleet: 'static {
    /// Lists all hosts, or returns `None` if the service does not answer.
    fn hosts(&self) -> impl Future<Output = Option<Vec<Listed>>>;

    /// Moves a host to another pool.
    fn relocate(&self, host: &str, pool: &str, fence: u64) -> impl Future<Output = Outcome>;

    /// Begins the maintenance of a host.
    fn maintain(&self, host: &str, wave: u64, fence: u64) -> impl Future<Output = Outcome>;
}
