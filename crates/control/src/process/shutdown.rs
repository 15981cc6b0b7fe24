//! The course of a planned stop.

use sassafrascrank_base::prelude::*;

/// Share of the grace after which connections close. The balancer needs about 2 s to notice that an entry is not ready;
/// with a grace of 6 s closing begins after 2.6 s.
const CLOSE: f64 = 0.43;
/// Share of the grace after which connections that are still open are dropped, which leaves requests 2 s of 6 s.
const DROP: f64 = 0.77;
/// Share of the grace after which the thread of decisions ends; the rest is for the end of the other threads.
const END: f64 = 0.8;

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
    pub fn within(grace: Duration) -> Self {
        Self {
            close: grace.mul_f64(CLOSE),
            drop: grace.mul_f64(DROP),
            end: grace.mul_f64(END),
        }
    }
}
