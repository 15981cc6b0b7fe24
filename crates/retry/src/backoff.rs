//! Exponential back-off with jitter.

use sassafrascrank_base::prelude::*;

/// Delays before retries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Backoff {
    /// Longest delay before the first retry.
    pub base: Duration,
    /// Longest delay before any retry.
    pub limit: Duration,
}

impl Backoff {
    /// Returns the delay before a retry; the first retry is number 0.
    ///
    /// The upper bound is `base`, doubled for each earlier retry, but at most `limit`. The delay lies between half of
    /// the bound and the bound. `random` selects it; equal numbers give equal delays.
    pub fn delay(&self, retry: u32, random: u64) -> Duration {
        let doubled = self
            .base
            .saturating_mul(1_u32.checked_shl(retry).unwrap_or(u32::MAX));
        let upper = doubled.min(self.limit);
        let half = upper / 2;
        let choices = u64::try_from(half.as_micros())
            .unwrap_or(u64::MAX)
            .saturating_add(1);
        half + Duration::from_micros(random % choices)
    }
}
