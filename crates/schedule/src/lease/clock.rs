//! A runner's clock, as one answer showed it.

use sassafrascrank_base::prelude::*;

/// A runner's clock, as one answer showed it.
///
/// The answer took time to arrive, so the runner's clock is at least as far as the sample says, if it runs true.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockSample {
    /// Milliseconds that the runner showed.
    pub clock_ms: u64,
    /// When the answer arrived.
    pub received: Time,
}

/// Thousandths in one.
const THOUSAND: u64 = 1_000;

impl ClockSample {
    /// Returns the runner's clock at `now` in milliseconds, if it runs true.
    pub fn estimate_ms(&self, now: Time) -> u64 {
        self.clock_ms + now.since(self.received).as_millis() as u64
    }

    /// Returns the latest time at which a lease until `until` ends, if the clock is slow by `drift` thousandths.
    pub fn latest_expiry(&self, until_ms: u64, drift_permille: u32) -> Time {
        let left_ms = until_ms.saturating_sub(self.clock_ms);
        let rate = THOUSAND.saturating_sub(u64::from(drift_permille)).max(1);
        self.received + Duration::from_micros(left_ms * THOUSAND * THOUSAND / rate)
    }
}
