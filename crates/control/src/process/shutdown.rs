//! The course of a planned stop.

use sassafrascrank_base::prelude::*;

/// Times of a planned stop, counted from the request to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    /// Connections close; by then the balancer should send no new ones.
    pub close: Duration,
    /// Connections that are still open are dropped.
    pub drop: Duration,
    /// The thread of decisions ends at the latest.
    pub end: Duration,
}

impl Shutdown {
    /// Divides the time after which the platform ends the process by force.
    ///
    /// A fifth is left for the end of the threads. The balancer needs about 2 s to notice that an entry is not ready, so
    /// closing comes after a little more than half of the rest.
    pub fn within(grace: Duration) -> Self {
        Self {
            close: grace.mul_f64(0.43),
            drop: grace.mul_f64(0.77),
            end: grace.mul_f64(0.8),
        }
    }
}
