//! Whether the entry reports that it is ready, and why not.

use super::Control;
use crate::front;
use sassafrascrank_base::prelude::*;
use sassafrascrank_trace::{
    Event,
    Value, //
};

/// Time after a failed append of a caller's record for which the entry reports that it is not ready.
const APPEND_FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Why an entry is not ready, and the age of what decided it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Obstacle {
    reason: &'static str,
    age: Duration,
}

impl Control {
    /// Records whether the log answers reads. The last one that succeeded began at `read_started`.
    pub(super) fn set_reachable(&mut self, reachable: bool, read_started: Time, now: Time) {
        if self.log_reachable != reachable {
            self.log_reachable = reachable;
            let name = if reachable {
                "log-regained"
            } else {
                "log-lost"
            };
            let age = now.since(read_started);
            self.out
                .events
                .push(Event::new(name, now).with("age", Value::Duration(age)));
        }
    }

    /// Returns why the entry can't accept callers' requests, if it can't.
    fn obstacle(&self, now: Time) -> Option<Obstacle> {
        let found = |reason, since| {
            Some(Obstacle {
                reason,
                age: now.since(since),
            })
        };
        if self.stopping {
            return found("stopping", now);
        }
        if self.config.is_none() {
            return found("no-configuration", now);
        }
        if !self.log_reachable {
            return found("log-lost", self.last_read());
        }
        if !self.is_read_recent(now) {
            return found("reads-old", self.last_read());
        }
        if !self.decides_on_credentials(now) {
            return found("configuration-old", self.config_confirmed);
        }
        match self.append_failed_at {
            Some(at) if now.since(at) < APPEND_FAILURE_PAUSE => found("append-failed", at),
            _ => None,
        }
    }

    /// Tells whether the configuration is recent enough to decide on callers' credentials, if it has accounts.
    fn decides_on_credentials(&self, now: Time) -> bool {
        let config = self.config.as_ref();
        let confirmation = front::Confirmation {
            at: self.config_confirmed,
            limit: self.credential_limit,
        };
        config.is_none_or(|config| config.accounts.is_none()) || confirmation.is_valid(now)
    }

    /// Returns the start of the last read on which the entry relies: of the jobs, or of the seats if others answer its
    /// callers' questions.
    fn last_read(&self) -> Time {
        match self.membership.relies_on_seats(self.jobs_read) {
            Some(roster) => roster.read_started(),
            None => self.read_started,
        }
    }

    /// Tells whether the log was read recently enough. A process that has just started accepts submissions before it has
    /// read all jobs, since that read takes more than a second on a small host.
    fn is_read_recent(&self, now: Time) -> bool {
        match self.membership.relies_on_seats(self.jobs_read) {
            Some(roster) => roster.is_fresh(now),
            None => self.is_fresh(now) || !self.jobs_read,
        }
    }

    /// Reports to the front thread and in the log when the entry becomes ready or not.
    pub(super) fn update_readiness(&mut self, now: Time) {
        let obstacle = self.obstacle(now);
        let ready = obstacle.is_none();
        if ready == self.ready {
            return;
        }
        self.ready = ready;
        self.out.notices.push(front::Notice::Ready(ready));
        let event = match obstacle {
            None => Event::new("ready", now),
            Some(Obstacle { reason, age }) => Event::new("not-ready", now)
                .with("reason", Value::Code(reason))
                .with("age", Value::Duration(age)),
        };
        self.out.events.push(event);
    }
}
