//! Time limits of a maintenance wave.

use sassafrascrank_base::prelude::*;

/// Time limits that the planner applies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rules {
    /// Time in which every host is maintained once. The number of a wave is the number of periods since the Unix epoch,
    /// counted from 1.
    pub period: Duration,
    /// Longest drain: after this time a host goes out of service if its remaining work can be moved.
    pub drain_limit: Duration,
    /// Expected duration of a reboot, used by forecasts only.
    pub reboot: Duration,
    /// Time without a failure after which a rebooted host counts as healthy.
    pub probation: Duration,
    /// Longest time in each of the steps `out` and `returning`; after it a host counts as broken.
    pub return_limit: Duration,
    /// Time without a failure after which a recorded failure is cleared. It must exceed the delay of the platform's
    /// reports; otherwise processes with different delays would record and clear the same failure in turn.
    pub recovery_delay: Duration,
    /// Largest age of the platform's reports at which decisions are made.
    pub report_age_limit: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(21 * 86_400),
            drain_limit: Duration::from_secs(1_800),
            reboot: Duration::from_secs(300),
            probation: Duration::from_secs(300),
            return_limit: Duration::from_secs(1_800),
            recovery_delay: Duration::from_secs(60),
            report_age_limit: Duration::from_secs(30),
        }
    }
}

impl Rules {
    /// Returns the number of the wave that is due at `now`, at least 1.
    pub fn wave(&self, now: Time) -> u64 {
        now.as_millis() / self.period_millis() + 1
    }

    /// Returns the time by which every host must have been maintained in this wave.
    pub fn deadline(&self, wave: u64) -> Time {
        Time::from_millis(wave.saturating_mul(self.period_millis()))
    }

    fn period_millis(&self) -> u64 {
        u64::try_from(self.period.as_millis())
            .unwrap_or(u64::MAX)
            .max(1)
    }
}
