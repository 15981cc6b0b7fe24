//! Faults of the platform, which can be changed while the stand-in runs.

use core::time::Duration;

/// Kind of outage of the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Connections are closed without a response, before a request takes effect.
    Closed,
    /// Every request gets status 503.
    Unavailable,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Outage of the whole platform.
    pub outage: Outage,
    /// Delay of a response after the request took effect.
    pub delay: Duration,
    /// Percentage of requests that are delayed.
    pub delay_percent: u8,
    /// Percentage of appends that take effect but get no response, because the connection is closed.
    pub lost_answer_percent: u8,
    /// Time after which a change of the host list becomes visible.
    pub host_lag: Duration,
}
