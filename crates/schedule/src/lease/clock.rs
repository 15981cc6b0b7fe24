//! A runner's clock, as one answer showed it.

use sassafrascrank_base::prelude::*;

/// A runner's clock, as one answer showed it.
///
/// The answer took time to arrive, so the runner's clock is at least as far as the sample says, if it runs true.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Clock {
    /// Milliseconds that the runner showed.
    pub millis: u64,
    /// When the answer arrived.
    pub at: Time,
}

/// Thousandths in one.
const THOUSAND: u64 = 1_000;

impl Clock {
    /// Returns the runner's clock at `now` in milliseconds, if it runs true.
    pub fn read(&self, now: Time) -> u64 {
        self.millis + now.since(self.at).as_millis() as u64
    }

    /// Returns the latest time at which a lease until `until` ends, if the clock is slow by `drift` thousandths.
    pub fn end(&self, until: u64, drift: u32) -> Time {
        let left = until.saturating_sub(self.millis);
        let rate = THOUSAND.saturating_sub(u64::from(drift)).max(1);
        self.at + Duration::from_micros(left * THOUSAND * THOUSAND / rate)
    }
}
