//! Whether a job is within the submission rate that its account is guaranteed.

use sassafrascrank_base::prelude::*;

/// Amount of the bucket that a job takes. A weight counts thousandths of a job a second and times are in microseconds, so
/// that the refill is a product of integers, and equal submissions have equal results in all processes.
const JOB: u64 = 1_000_000_000;

/// Whether a job is within the rate that its account is guaranteed.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// The job is within the rate.
    #[default]
    Within,
    /// The account has submitted more jobs than it is guaranteed.
    Beyond,
}

/// A token bucket of an account, which is full at first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    /// What is missing from a full bucket.
    missing: u64,
    /// Latest time for which the bucket was refilled.
    refilled: Time,
}

impl Bucket {
    /// Takes a token for a job that was submitted then, if there is one. `weight` is the guaranteed rate in thousandths of a
    /// job a second, and `window` the time in which the bucket refills.
    pub fn take(&mut self, weight: u32, window: Duration, submitted: Time) -> Standing {
        self.refill(weight, submitted);
        let capacity = capacity(weight, window);
        // The weight may have become smaller.
        self.missing = self.missing.min(capacity);
        if capacity - self.missing < JOB {
            return Standing::Beyond;
        }
        self.missing += JOB;
        Standing::Within
    }

    /// Returns the time until the bucket has tokens for `jobs` jobs, or `None` if it never has. It may need more than fit into
    /// the bucket at once.
    pub fn time_until(
        &self,
        jobs: u64,
        weight: u32,
        window: Duration,
        now: Time,
    ) -> Option<Duration> {
        let mut bucket = *self;
        bucket.refill(weight, now);
        let capacity = capacity(weight, window);
        let level = capacity - bucket.missing.min(capacity);
        let lacking = jobs.saturating_mul(JOB).saturating_sub(level);
        match (lacking, weight) {
            (0, _) => Some(Duration::ZERO),
            (_, 0) => None,
            _ => Some(Duration::from_micros(lacking.div_ceil(weight.into()))),
        }
    }

    fn refill(&mut self, weight: u32, at: Time) {
        // Submissions of several entries are not quite in order.
        let spent = at.since(self.refilled).as_micros() as u64;
        self.refilled = self.refilled.max(at);
        self.missing = self
            .missing
            .saturating_sub(spent.saturating_mul(weight.into()));
    }
}

/// Returns what a full bucket holds, which is at least one job.
fn capacity(weight: u32, window: Duration) -> u64 {
    let window = window.as_micros() as u64;
    window.saturating_mul(weight.into()).max(JOB)
}
