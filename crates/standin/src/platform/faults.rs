//! Faults that can be changed while the stand-in runs.

use core::time::Duration;

/// How the platform is out of service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// It is in service.
    #[default]
    None,
    /// Connections are closed without an answer, before a request takes effect.
    Closed,
    /// Every request is answered with status 503.
    Unavailable,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Whether the platform is out of service.
    pub outage: Outage,
    /// Delay of an answer, after the request took effect.
    pub delay: Duration,
    /// Percentage of requests that are delayed.
    pub delay_percent: u8,
    /// Percentage of appends that take effect and whose connection then closes without an answer.
    pub lost_answer_percent: u8,
    /// Age of the host list that is shown.
    pub host_lag: Duration,
}
