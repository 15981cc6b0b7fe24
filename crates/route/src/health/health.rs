//! Ejection, probing and return to service of one upstream.

use super::window::Window;
use sassafrascrank_base::prelude::*;

/// Weighted consecutive failures at which an upstream is ejected.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 5;

/// Duration of the first ejection; each further one is twice as long.
const EJECTION_MIN: Duration = Duration::from_secs(1);

/// Longest duration of an ejection; it bounds how long a repaired upstream waits for its next probe.
const EJECTION_MAX: Duration = Duration::from_secs(30);

/// Doublings after which the longest duration is reached.
const DOUBLING_LIMIT: u32 = 5;

/// Time since the end of the last ejection that takes back one doubling.
const DOUBLING_DECAY: Duration = Duration::from_secs(30);

/// Fewest successes after a probe until the upstream counts as healthy, even if its quota is lower.
const RECOVERY_MIN: u32 = 8;

/// Whether the health of an upstream lets it take requests, and how many.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// It takes requests up to its quota.
    Serving,
    /// It takes no requests before this time.
    Ejected(Time),
    /// It takes one request at a time as a probe; the flag tells whether one is in flight.
    Probing(bool),
    /// It takes up to this many requests at once, one more after each success.
    Recovering(u32),
}

impl HealthState {
    /// Tells whether the upstream is out of service: ejected, or without a successful probe since then.
    pub(crate) const fn is_out_of_service(self) -> bool {
        matches!(self, Self::Ejected(_) | Self::Probing(_))
    }
}

/// Health of one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    state: HealthState,
    /// Doublings of the next ejection time.
    doublings: u32,
    last_ejection_end: Time,
    /// Weighted failures since the last success.
    consecutive_failures: u32,
    window: Window,
}

impl Health {
    /// Creates the health of an upstream that is in service, without history.
    pub(crate) fn new() -> Self {
        Self {
            state: HealthState::Serving,
            doublings: 0,
            last_ejection_end: Time::MIN,
            consecutive_failures: 0,
            window: Window::default(),
        }
    }

    /// Returns the current state.
    pub(crate) const fn state(&self) -> HealthState {
        self.state
    }

    /// Returns how many requests may run at once.
    pub(crate) const fn limit(&self) -> u32 {
        match self.state {
            HealthState::Serving => u32::MAX,
            HealthState::Ejected(_) => 0,
            HealthState::Probing(_) => 1,
            HealthState::Recovering(limit) => limit,
        }
    }

    /// Records that an attempt starts, and tells whether it is a probe.
    pub(crate) fn start_attempt(&mut self) -> bool {
        let probe = matches!(self.state, HealthState::Probing(_));
        if probe {
            self.state = HealthState::Probing(true);
        }
        probe
    }

    /// Discards an attempt whose result says nothing about the upstream; if it was the probe, another one is due.
    pub(crate) fn discard_attempt(&mut self) {
        if self.state == HealthState::Probing(true) {
            self.state = HealthState::Probing(false);
        }
    }

    /// Records a successful attempt, and tells whether the upstream has just returned to full service.
    pub(crate) fn record_success(&mut self, now: Time, quota: u32) -> bool {
        self.consecutive_failures = 0;
        match self.state {
            HealthState::Serving => self.window.record(now, false),
            // The attempt started before the ejection; only a probe decides.
            HealthState::Ejected(_) => {}
            HealthState::Probing(_) => self.state = HealthState::Recovering(1),
            HealthState::Recovering(limit) if limit + 1 > quota.max(RECOVERY_MIN) => {
                self.window = Window::default();
                self.state = HealthState::Serving;
                return true;
            }
            HealthState::Recovering(limit) => self.state = HealthState::Recovering(limit + 1),
        }
        false
    }

    /// Records a failed attempt, and tells whether the upstream should be ejected.
    pub(crate) fn record_failure(&mut self, now: Time, weight: u32) -> bool {
        match self.state {
            // Attempts that started before the ejection must not lengthen it.
            HealthState::Ejected(_) | HealthState::Probing(false) => false,
            HealthState::Probing(true) | HealthState::Recovering(_) => true,
            HealthState::Serving => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(weight);
                self.window.record(now, true);
                self.consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT
                    || self.window.is_over_limit()
            }
        }
    }

    /// Ejects the upstream and returns the time of its next probe.
    pub(crate) fn eject(&mut self, now: Time) -> Time {
        let decayed = now.since(self.last_ejection_end).as_micros() / DOUBLING_DECAY.as_micros();
        self.doublings = self
            .doublings
            .saturating_sub(u32::try_from(decayed).unwrap_or(u32::MAX));
        let duration = (EJECTION_MIN * (1 << self.doublings)).min(EJECTION_MAX);
        let until = now + duration;
        self.doublings = (self.doublings + 1).min(DOUBLING_LIMIT);
        self.last_ejection_end = until;
        self.consecutive_failures = 0;
        self.window = Window::default();
        self.state = HealthState::Ejected(until);
        until
    }

    /// Keeps an upstream in service that would be ejected if the limit on ejections allowed it.
    pub(crate) fn keep_in_service(&mut self) {
        if let HealthState::Recovering(_) = self.state {
            self.state = HealthState::Recovering(1);
        }
    }

    /// Ends the ejection: the next request is a probe.
    pub(crate) fn probe(&mut self) {
        self.state = HealthState::Probing(false);
    }

    /// Returns the upstream to service with one request at a time.
    pub(crate) fn reinstate(&mut self) {
        self.state = HealthState::Recovering(1);
    }
}
