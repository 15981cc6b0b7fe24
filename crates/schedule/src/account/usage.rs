//! What operators see of a client account.

use sassafrascrank_job::Resource;
use std::sync::Arc;

/// What operators see of a client account.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Name of the account.
    pub name: Arc<str>,
    /// What its runs need that are not known to have ended.
    pub used: Resource,
    /// Largest amount that they may need; 0 stands for no limit.
    pub cap: Resource,
    /// Jobs that have not begun, and are within the rate that is guaranteed.
    pub within: u64,
    /// Jobs that have not begun, and are beyond that rate.
    pub beyond: u64,
}
