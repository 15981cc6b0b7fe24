//! Periodic decisions.

use super::Engine;
use crate::job::{
    self,
    run::{
        self,
        Stage, //
    },
};
use sassafrascrank_base::prelude::*;

/// Time between two ticks that shows that this process stood still.
const STANDSTILL: Duration = Duration::from_millis(500);
/// Time after a standstill in which the service list and the answers that came meanwhile are handled. Before that, a runner whose
/// lease seems to have ended may have restarted.
const CATCH_UP: Duration = Duration::from_millis(500);

/// What a leader may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permission {
    /// Nothing but to look: another leader may have taken over. Polls renew no leases.
    Observe,
    /// Renew leases, stop runs and order hosts, but start no task: jobs may have been cancelled since the log was read.
    Keep,
    /// Everything but to start tasks of accounts that have a cap: the configuration may have been replaced long ago.
    StartUncapped,
    /// Everything.
    Start,
}

impl Engine {
    /// Makes all decisions that are due, from all that was reported, as far as `permission` goes. `wall` is the time of
    /// day.
    pub fn tick(&mut self, permission: Permission, wall: Time, now: Time) {
        let may_start = matches!(permission, Permission::StartUncapped | Permission::Start);
        self.starts_capped = permission == Permission::Start;
        let may_order = permission != Permission::Observe;
        self.restore_standings();
        self.open_repeated(wall, now);
        self.discharge_strays(now);
        if self.has_caught_up(now) {
            self.expire_leases(now);
        }
        self.close_findings(now);
        self.update_late_starts(now);
        if may_order {
            if may_start {
                self.start_stored(now);
                self.repeat_starts(now);
            }
            self.order_stored(now);
            self.repeat_stops(now);
            self.evict(now);
            self.pace(now);
            self.update_contention(now);
            self.handle_stragglers(now);
            self.manage_hosts(now);
            self.update_tiers(now);
            if may_start {
                self.separate(now);
                self.place(now);
            }
        }
        self.poll_runners(may_order, now);
    }

    /// Tells whether what came while this process stood still has been handled. A process whose ticks are always slow has caught
    /// up at every second one.
    fn has_caught_up(&mut self, now: Time) -> bool {
        let stood_still = now.since(self.ticked_at) > STANDSTILL;
        self.ticked_at = now;
        match self.resumed_at {
            None if stood_still => self.resumed_at = Some(now),
            Some(at) if now.since(at) >= CATCH_UP => self.resumed_at = None,
            _ => {}
        }
        self.resumed_at.is_none()
    }

    fn open_repeated(&mut self, wall: Time, now: Time) {
        let repeated = |active: &job::ActiveJob| {
            active.outcome.is_none() && active.next < active.job.occurrences()
        };
        let keys = self.jobs.iter().filter(|(_, active)| repeated(active));
        let keys: Vec<job::Key> = keys.map(|(key, _)| key).collect();
        for key in keys {
            self.open_due_occurrences(key, wall, now);
        }
    }

    /// Repeats orders to stop that were not answered.
    fn repeat_stops(&mut self, now: Time) {
        let pause = self.rules.stop_retry_interval;
        let due = |run: &job::Run| {
            run.stage == Stage::Stopping
                && run.answered_at.is_none()
                && run.stop_ordered_at.is_none_or(|at| now >= at + pause)
                && self.may_repeat_stop(run, now)
        };
        let keys = self.runs.iter().filter(|(_, run)| due(run));
        let keys: Vec<run::Key> = keys.map(|(key, _)| key).collect();
        for key in keys {
            self.order_stop(key, now);
        }
    }
}
