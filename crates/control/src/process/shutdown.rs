//! Times of a planned shutdown.

use sassafrascrank_base::prelude::*;

/// Share of the grace period after which connections close. The load balancer needs about 2 s to notice that an entry
/// is not ready; with a grace period of 6 s, closing begins after 2.6 s.
const CLOSE_SHARE: f64 = 0.43;
/// Share of the grace period after which connections that are still open are dropped. With a grace period of 6 s,
/// requests in progress have 2 s after closing has begun.
const DROP_SHARE: f64 = 0.77;
/// Share of the grace period after which the control thread ends. The rest is for the end of the other threads.
const END_SHARE: f64 = 0.8;

/// Times of a planned shutdown, counted from the request to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    /// When connections begin to close; by then the load balancer should open no new ones.
    pub close: Duration,
    /// When connections that are still open are dropped.
    pub drop: Duration,
    /// When the control thread ends at the latest.
    pub end: Duration,
}

impl Shutdown {
    /// Returns the times for a grace period, after which the platform kills the process.
    pub fn within(grace: Duration) -> Self {
        Self {
            close: grace.mul_f64(CLOSE_SHARE),
            drop: grace.mul_f64(DROP_SHARE),
            end: grace.mul_f64(END_SHARE),
        }
    }
}
