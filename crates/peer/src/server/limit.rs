//! Bounds and counters of the server.

use core::time::Duration;

/// Bounds of one server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Most connections at the same time; a further one is closed immediately.
    pub connections: usize,
    /// Most handovers at the same time, since each may take 64 MiB; a further one gets status 503.
    pub handovers: usize,
    /// Longest time from the head of a request to its answer.
    pub request: Duration,
    /// Longest time for which a connection waits for the head of the next request.
    pub idle: Duration,
}

impl Limit {
    /// The default bounds: two connections for each of 64 entries, which is twice the target. Reports
    /// to other zones come more often than every 30 s, so that their connections stay open.
    pub const DEFAULT: Self = Self {
        connections: 128,
        handovers: 1,
        request: Duration::from_secs(5),
        idle: Duration::from_secs(30),
    };
}

impl Default for Limit {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// Counters since the start of the server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Connections that could not be accepted, or that were closed because there were too many.
    pub closed: u64,
    /// Requests with a successful answer.
    pub answered: u64,
    /// Requests that were malformed, too large, too slow or refused.
    pub refused: u64,
}
