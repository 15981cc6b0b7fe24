//! Starts of a run that may still be carried out.

use sassafrascrank_base::prelude::*;

/// Until when a start that got no answer may be carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bound {
    /// By the incarnation of the runner that it was sent to: its lease has ended then.
    pub here: Time,
    /// By a later one; [`Time::MIN`] if that does no harm.
    ///
    /// A later incarnation carries such a start out as long as it has not answered an order of this leader: orders name the runner
    /// and not its incarnation, and the clock by which the start expires begins anew.
    pub later: Time,
}

impl Bound {
    const NONE: Self = Self {
        here: Time::MIN,
        later: Time::MIN,
    };

    fn max(self, other: Self) -> Self {
        Self {
            here: self.here.max(other.here),
            later: self.later.max(other.later),
        }
    }
}

/// Starts of a run that were sent and not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Starts {
    /// The start on its way, if one is.
    in_flight: Option<Bound>,
    /// Those without an answer.
    unanswered: Bound,
    /// Whether more than one was sent, so that a run may be due to any of them.
    several: bool,
    /// Whether a runner has listed the run.
    listed: bool,
    /// Whether one was sent to the present incarnation of the runner.
    sent_here: bool,
}

impl Starts {
    /// No start was sent.
    pub const NONE: Self = Self {
        in_flight: None,
        unanswered: Bound::NONE,
        several: false,
        listed: false,
        sent_here: false,
    };

    /// Returns the starts that a former leader may have sent, the latest of which a later incarnation may carry out until then.
    pub const fn inherited(later: Time, several: bool) -> Self {
        Self {
            unanswered: Bound {
                later,
                ..Bound::NONE
            },
            several,
            ..Self::NONE
        }
    }

    /// Records that a start was sent.
    pub fn send(&mut self, bound: Bound) {
        self.several |= self.unanswered != Bound::NONE;
        self.in_flight = Some(bound);
        self.sent_here = true;
    }

    /// Records that the start on its way was carried out or refused, or was not sent.
    pub const fn settle(&mut self) {
        self.in_flight = None;
    }

    /// Records that the start on its way got no answer. A later incarnation may carry it out until then.
    pub fn fail(&mut self, later: Time) {
        let sent = self.in_flight.take().unwrap_or(Bound::NONE);
        if self.several || !self.listed {
            self.unanswered = self.unanswered.max(Bound { later, ..sent });
        }
    }

    /// Records that a runner has listed the run, so that one of the starts was carried out.
    pub const fn list(&mut self) {
        self.listed = true;
        if !self.several {
            self.in_flight = None;
            self.unanswered = Bound::NONE;
        }
    }

    /// Records that a later incarnation of the runner is known.
    pub const fn move_on(&mut self) {
        self.sent_here = false;
    }

    /// Tells whether the present incarnation of the runner rejects all starts once it has answered an order, because they were
    /// sent to earlier ones.
    pub const fn are_outdated(&self) -> bool {
        !self.sent_here
    }

    /// Tells whether all starts that the runner may have got by `now` have expired, and none is on its way.
    pub fn have_expired(&self, now: Time) -> bool {
        self.in_flight.is_none() && now > self.unanswered.here
    }

    /// Returns the latest time at which a later incarnation of the runner may carry one out, or `None` if all are settled.
    pub fn until(&self) -> Option<Time> {
        let in_flight = self.in_flight.unwrap_or(Bound::NONE);
        let until = in_flight.max(self.unanswered).later;
        Some(until).filter(|&until| until > Time::MIN)
    }
}
