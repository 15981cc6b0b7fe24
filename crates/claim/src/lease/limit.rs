//! Time bounds of the lease protocol.

use core::time::Duration;

/// Time bounds that all entries of a zone must share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// How far the horizon lies after the start of a confirmation (`L`).
    ///
    /// It bounds how long an entry runs new keys after its last confirmation, and how many keys get an unknown outcome
    /// when ownership moves without a handover.
    pub lease: Duration,
    /// Largest difference between the clocks of two entries (`S`); each clock is within half of it of the true time.
    pub skew: Duration,
    /// How long after the last log read a confirmation by the peers is enough (`D`).
    ///
    /// It is the longest log outage during which keyed requests are served, and the time for which an entry runs
    /// nothing if no active member has acknowledged its join.
    pub outage: Duration,
    /// How long a joining entry waits for an acknowledgement of its join before it goes on without one.
    pub join_ack_wait: Duration,
}

impl Limit {
    /// Default bounds: L = 5 s, S = 1 s, D = 15 min, and 5 s for an acknowledgement of the join.
    pub const DEFAULT: Self = Self {
        lease: Duration::from_secs(5),
        skew: Duration::from_secs(1),
        outage: Duration::from_secs(15 * 60),
        join_ack_wait: Duration::from_secs(5),
    };

    /// Returns how far a fence lies after the time at which the change of ownership was read: the lease and the skew.
    pub const fn fence_margin(&self) -> Duration {
        self.lease.saturating_add(self.skew)
    }
}

impl Default for Limit {
    fn default() -> Self {
        Self::DEFAULT
    }
}
