//! Starts of a run that may still be carried out.

use sassafrascrank_base::prelude::*;

/// Starts of a run that were sent and not answered.
///
/// A later incarnation of the runner may carry such a start out, as long as it has not answered an order of this leader:
/// orders name the runner and not its incarnation, and the clock by which the start expires begins anew.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Starts {
    /// Latest time at which the start on its way may be carried out, if one is.
    in_flight: Option<Time>,
    /// Latest time at which another one may be carried out.
    until: Time,
    /// Whether more than one was sent, so that a run may be due to any of them.
    several: bool,
    /// Whether a runner has listed the run.
    listed: bool,
}

impl Starts {
    /// No start was sent.
    pub const NONE: Self = Self {
        in_flight: None,
        until: Time::MIN,
        several: false,
        listed: false,
    };

    /// Returns the starts that a former leader may have sent, the latest of which may be carried out until then.
    pub const fn inherited(until: Time, several: bool) -> Self {
        Self {
            until,
            several,
            ..Self::NONE
        }
    }

    /// Records that a start was sent that may be carried out until then.
    pub fn send(&mut self, until: Time) {
        self.several |= self.until > Time::MIN;
        self.in_flight = Some(until);
    }

    /// Records that the start on its way was carried out or refused, or was not sent.
    pub const fn settle(&mut self) {
        self.in_flight = None;
    }

    /// Records that the start on its way got no answer, and may be carried out until then.
    pub fn fail(&mut self, until: Time) {
        self.in_flight = None;
        if self.several || !self.listed {
            self.until = self.until.max(until);
        }
    }

    /// Records that a runner has listed the run, so that one of the starts was carried out.
    pub const fn list(&mut self) {
        self.listed = true;
        if !self.several {
            self.in_flight = None;
            self.until = Time::MIN;
        }
    }

    /// Returns the latest time at which a later incarnation of the runner may carry one out, or `None` if all are settled.
    pub fn until(&self) -> Option<Time> {
        let until = self.in_flight.unwrap_or(Time::MIN).max(self.until);
        Some(until).filter(|&until| until > Time::MIN)
    }
}
