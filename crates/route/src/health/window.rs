//! Share of failed attempts over a sliding window.

use sassafrascrank_base::prelude::*;

/// Length of each of the two buckets; the window covers between one and two of them.
const BUCKET_LENGTH: Duration = Duration::from_secs(5);

/// Fewest attempts in the window for which the share of failures counts.
const MIN_ATTEMPTS: u32 = 10;

/// Percentage of failed attempts at which an upstream is ejected.
const FAILURE_LIMIT_PERCENT: u32 = 50;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    attempts: u32,
    failures: u32,
}

/// Attempts and failures of the last 5 to 10 s.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    start: Time,
    current: Bucket,
    previous: Bucket,
}

impl Window {
    /// Counts one attempt.
    pub(crate) fn record(&mut self, now: Time, failed: bool) {
        let age = now.since(self.start);
        if age >= BUCKET_LENGTH {
            let adjacent = age < BUCKET_LENGTH * 2;
            self.previous = if adjacent {
                self.current
            } else {
                Bucket::default()
            };
            self.current = Bucket::default();
            self.start = now;
        }
        self.current.attempts = self.current.attempts.saturating_add(1);
        self.current.failures = self.current.failures.saturating_add(u32::from(failed));
    }

    /// Tells whether the share of failed attempts in the window has reached the limit.
    pub(crate) fn is_over_limit(&self) -> bool {
        let attempts = self.current.attempts.saturating_add(self.previous.attempts);
        let failures = self.current.failures.saturating_add(self.previous.failures);
        let too_many_failed =
            u64::from(failures) * 100 >= u64::from(attempts) * u64::from(FAILURE_LIMIT_PERCENT);
        attempts >= MIN_ATTEMPTS && too_many_failed
    }
}
