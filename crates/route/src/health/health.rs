//! Ejection, probing and return of one upstream.

use super::window::Window;
use sassafrascrank_base::prelude::*;

/// Weighted failures in a row at which an upstream is ejected.
const STREAK_LIMIT: u32 = 5;

/// First ejection time; each further one is twice as long.
const EJECTION_MIN: Duration = Duration::from_secs(1);

/// Longest ejection time, which bounds how long a repaired upstream waits for its next probe.
const EJECTION_MAX: Duration = Duration::from_secs(30);

/// Doublings after which the longest ejection time is reached.
const LEVEL_LIMIT: u32 = 5;

/// Time in service after which one doubling is forgiven.
const FORGIVE_AFTER: Duration = Duration::from_secs(30);

/// Successes after a probe until the upstream counts as healthy, even if its quota is lower.
const RECOVERY_MIN: u32 = 8;

/// Whether an upstream takes work, as far as its health decides it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// It takes work up to its quota.
    Serving,
    /// It takes no work before this time.
    Ejected(Time),
    /// It takes one request at a time as a probe; the flag tells whether one is in flight.
    Probing(bool),
    /// It takes this many requests at once, one more after each success.
    Recovering(u32),
}

impl HealthState {
    /// Tells whether the upstream is out of service: ejected, or waiting for a good probe.
    pub(crate) const fn is_out(self) -> bool {
        matches!(self, Self::Ejected(_) | Self::Probing(_))
    }
}

/// Learned health of one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    state: HealthState,
    level: u32,
    last_until: Time,
    streak: u32,
    window: Window,
}

impl Health {
    /// Starts in service, without history.
    pub(crate) fn new() -> Self {
        Self {
            state: HealthState::Serving,
            level: 0,
            last_until: Time::MIN,
            streak: 0,
            window: Window::default(),
        }
    }

    /// Returns the present state.
    pub(crate) const fn state(&self) -> HealthState {
        self.state
    }

    /// Returns how many requests may run at once.
    pub(crate) const fn allowed(&self) -> u32 {
        match self.state {
            HealthState::Serving => u32::MAX,
            HealthState::Ejected(_) => 0,
            HealthState::Probing(_) => 1,
            HealthState::Recovering(allowed) => allowed,
        }
    }

    /// Notes that an attempt starts; tells whether it is a probe.
    pub(crate) fn start(&mut self) -> bool {
        let probe = matches!(self.state, HealthState::Probing(_));
        if probe {
            self.state = HealthState::Probing(true);
        }
        probe
    }

    /// Learns nothing from an attempt that ended; a probe has to be sent again.
    pub(crate) fn ignore(&mut self) {
        if self.state == HealthState::Probing(true) {
            self.state = HealthState::Probing(false);
        }
    }

    /// Learns from a success; tells whether the upstream has just become fully healthy.
    pub(crate) fn succeed(&mut self, now: Time, quota: u32) -> bool {
        self.streak = 0;
        match self.state {
            HealthState::Serving => self.window.record(now, false),
            // An attempt from before the ejection; the probe decides.
            HealthState::Ejected(_) => {}
            HealthState::Probing(_) => self.state = HealthState::Recovering(1),
            HealthState::Recovering(allowed) if allowed + 1 > quota.max(RECOVERY_MIN) => {
                self.window = Window::default();
                self.state = HealthState::Serving;
                return true;
            }
            HealthState::Recovering(allowed) => self.state = HealthState::Recovering(allowed + 1),
        }
        false
    }

    /// Learns from a failure; tells whether the upstream should be ejected.
    pub(crate) fn fail(&mut self, now: Time, weight: u32) -> bool {
        match self.state {
            // Attempts from before the ejection must not lengthen it.
            HealthState::Ejected(_) | HealthState::Probing(false) => false,
            HealthState::Probing(true) | HealthState::Recovering(_) => true,
            HealthState::Serving => {
                self.streak = self.streak.saturating_add(weight);
                self.window.record(now, true);
                self.streak >= STREAK_LIMIT || self.window.exceeded()
            }
        }
    }

    /// Ejects the upstream and returns the time of its next probe.
    pub(crate) fn eject(&mut self, now: Time) -> Time {
        let served = now.since(self.last_until).as_micros() / FORGIVE_AFTER.as_micros();
        self.level = self
            .level
            .saturating_sub(u32::try_from(served).unwrap_or(u32::MAX));
        let span = (EJECTION_MIN * (1 << self.level)).min(EJECTION_MAX);
        let until = now + span;
        self.level = (self.level + 1).min(LEVEL_LIMIT);
        self.last_until = until;
        self.streak = 0;
        self.window = Window::default();
        self.state = HealthState::Ejected(until);
        until
    }

    /// Keeps an upstream in service that should be ejected but for the limit on ejections.
    pub(crate) fn hold(&mut self) {
        if let HealthState::Recovering(_) = self.state {
            self.state = HealthState::Recovering(1);
        }
    }

    /// Starts probing after the ejection time.
    pub(crate) fn probe(&mut self) {
        self.state = HealthState::Probing(false);
    }

    /// Returns the upstream to service with one request at a time.
    pub(crate) fn reinstate(&mut self) {
        self.state = HealthState::Recovering(1);
    }
}
