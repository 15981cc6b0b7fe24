//! A reading of a runner's clock, taken from an answer.

use sassafrascrank_base::prelude::*;

/// A reading of a runner's clock, taken from an answer.
///
/// The answer took time to arrive, so the runner's clock is at least as far on as the sample says, unless it runs slow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockSample {
    /// The runner's clock in milliseconds.
    pub clock_ms: u64,
    /// When the answer arrived.
    pub received: Time,
}

/// Number of thousandths in one, and of microseconds in a millisecond.
const THOUSAND: u64 = 1_000;

impl ClockSample {
    /// Returns the runner's clock at `now` in milliseconds, assuming that it runs at the right rate.
    pub fn estimate_ms(&self, now: Time) -> u64 {
        self.clock_ms + now.since(self.received).as_millis() as u64
    }

    /// Returns the latest time at which a lease until `until_ms` of the runner's clock ends, if that clock is slow by
    /// at most `drift_permille`.
    pub fn latest_expiry(&self, until_ms: u64, drift_permille: u32) -> Time {
        let left_ms = until_ms.saturating_sub(self.clock_ms);
        let rate = THOUSAND.saturating_sub(u64::from(drift_permille)).max(1);
        self.received + Duration::from_micros(left_ms * THOUSAND * THOUSAND / rate)
    }
}
