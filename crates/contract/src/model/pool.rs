//! Pools of hosts and the assignment of a host to its pool.

use sassafrascrank_base::prelude::*;

/// Policy of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Requests that one upstream processes at once.
    pub slots: u32,
    /// Connections that one upstream accepts from all entry processes together.
    pub connections: u32,
    /// Longest time from sending a request to an upstream until the end of its answer.
    pub attempt_timeout: Duration,
    /// Least share of hosts in percent that must be available at any time.
    pub availability_percent: u32,
    /// Whether the pool holds spare hosts for the other pools.
    pub spare: bool,
}

/// Assignment of a host to exactly one pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Name of the pool.
    pub pool: Name,
}
