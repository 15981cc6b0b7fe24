//! Limits of the engine.

use core::time::Duration;
use sassafrascrank_retry::Backoff;

/// Limits of one engine.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Maximum number of requests that are queued, running or waiting for a retry.
    pub tickets: usize,
    /// Maximum number of attempts for one request, including the first.
    pub attempts: u32,
    /// Delay before a retry.
    pub backoff: Backoff,
    /// Time after which a refused caller may try again, if no better estimate is known.
    pub retry_after: Duration,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            tickets: 16_384,
            attempts: 3,
            backoff: Backoff {
                base: Duration::from_millis(20),
                limit: Duration::from_secs(1),
            },
            retry_after: Duration::from_millis(250),
        }
    }
}
