//! Faults of a runner, which can be changed while the stand-in runs.

use core::time::Duration;

/// Faults in force. Percentages refer to requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Requests whose response is delayed by `delay`.
    pub late_percent: u8,
    /// Additional time of a delayed response.
    pub delay: Duration,
    /// Requests whose connection is closed before they run.
    pub reset_before_percent: u8,
    /// Requests whose connection is closed after they ran, without a response.
    pub reset_after_percent: u8,
    /// Requests that run and never get a response.
    pub silent_percent: u8,
    /// Requests that get status 500 at once and do not run.
    pub error_percent: u8,
    /// Whether responses say that the upstream is leaving.
    pub draining: bool,
}
