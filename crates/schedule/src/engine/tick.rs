//! What time alone brings about.

use super::Engine;
use crate::work::{
    self,
    run::{
        self,
        Stage, //
    },
};
use sassafrascrank_base::prelude::*;

impl Engine {
    /// Decides what follows from all that was reported. `wall` is the time of day; orders are given only if
    /// `may_order`.
    pub fn tick(&mut self, may_order: bool, wall: Time, now: Time) {
        self.open_repeated(wall, now);
        self.expire(now);
        if may_order {
            self.start_stored(now);
            self.order_stored(now);
            self.repeat_stops(now);
            self.evict(now);
            self.pace(now);
            self.relieve(now);
            self.manage_hosts(now);
            self.renew_tiers(now);
            self.place(now);
        }
        self.look(may_order, now);
    }

    fn open_repeated(&mut self, wall: Time, now: Time) {
        let repeated =
            |work: &work::Work| work.outcome.is_none() && work.next < work.job.occurrences();
        let keys = self.works.iter().filter(|(_, work)| repeated(work));
        let keys: Vec<work::Key> = keys.map(|(key, _)| key).collect();
        for key in keys {
            self.open_due(key, wall, now);
        }
    }

    /// Orders stops again that were not answered.
    fn repeat_stops(&mut self, now: Time) {
        let pause = self.rules.stop_retry;
        let due = |run: &work::Run| {
            run.stage == Stage::Stopping
                && run.settled.is_none()
                && run.stop_at.is_none_or(|at| now >= at + pause)
        };
        let keys = self.runs.iter().filter(|(_, run)| due(run));
        let keys: Vec<run::Key> = keys.map(|(key, _)| key).collect();
        for key in keys {
            self.order_stop(key, now);
        }
    }
}
