//! Moving lasting tasks away from runners that leave or whose hosts are about to be touched.

use super::Engine;
use crate::{
    runner::{
        self,
        Runner, //
    },
    work::{
        Run, State,
        run::{
            self,
            Stage, //
        },
    },
};
use sassafrascrank_base::prelude::*;

/// Percentage that a lasting task shows once it works fully.
const AT_WORK: u8 = 100;

impl Engine {
    /// Stops lasting tasks at runners that leave or close, one by one within their budgets.
    pub(super) fn evict(&mut self, now: Time) {
        let leaving = |runner: &Runner| runner.closing || runner.leaves.is_some();
        let keys = self.runners.iter().filter(|(_, runner)| leaving(runner));
        let keys: Vec<runner::Key> = keys.map(|(key, _)| key).collect();
        for key in keys {
            for run in self.runners[key].runs.clone() {
                let draining = self.runners[key].leaves.is_some();
                if self.is_movable(run, draining, now) {
                    let reason = if draining { "draining" } else { "closing" };
                    self.stop(run, reason, now);
                }
            }
        }
    }

    /// Tells whether a lasting task may be stopped, to start elsewhere.
    fn is_movable(&self, key: run::Key, draining: bool, now: Time) -> bool {
        let run = &self.runs[key];
        let Some(shape) = self.shape(run.task) else {
            return false;
        };
        if !shape.lasting || run.stage != Stage::Running {
            return false;
        }
        // Ends at a runner that drains don't count against the budget.
        if !draining && !self.is_spare(run, now) {
            return false;
        }
        self.choose_for(run.task, Some(run.runner), now).is_some()
    }

    /// Tells whether the budget of the step allows a stop: fewer of its other tasks are away than may be missed.
    pub(super) fn is_spare(&self, run: &Run, now: Time) -> bool {
        let Some(shape) = self.shape(run.task) else {
            return false;
        };
        let Some(budget) = shape.may_miss else {
            return true;
        };
        self.away(run, now) < usize::from(budget)
    }

    /// Returns how many other tasks of the step are not at work.
    fn away(&self, run: &Run, now: Time) -> usize {
        let Some(work) = self.works.get(run.task.work) else {
            return 0;
        };
        let Some(found) = work.occurrence(run.task.occurrence) else {
            return 0;
        };
        let tasks = found.tasks(&work.job, run.task.step).iter().enumerate();
        let others = tasks.filter(|(index, _)| *index != usize::from(run.task.index));
        others
            .filter(|(_, task)| task.state != State::Done)
            .filter(|(_, task)| !task.runs.iter().any(|&run| self.is_at_work(run, now)))
            .count()
    }

    /// Tells whether a lasting task works fully, as far as is known.
    ///
    /// A former leader may have ordered its stop just before its runner learned of this one; the runner lists it until
    /// the stop has ended.
    fn is_at_work(&self, key: run::Key, now: Time) -> bool {
        let run = &self.runs[key];
        let sound = |runner: &Runner| runner.misses == 0 && runner.fenced;
        let certain = |at: Time| now > at + self.rules.stop_limit + self.rules.margin;
        run.stage == Stage::Running
            && run.adopted.is_none_or(certain)
            && run.percent >= AT_WORK
            && self.runners.get(run.runner).is_some_and(sound)
    }

    /// Tells whether a runner's host could be emptied now, as far as its lasting tasks go.
    pub(super) fn is_clearable(&self, key: runner::Key, now: Time) -> bool {
        self.runners[key].runs.iter().all(|&run| {
            let run = &self.runs[run];
            let lasting = self.shape(run.task).is_some_and(|step| step.lasting);
            !lasting || self.is_spare(run, now)
        })
    }

    /// Tells whether a runner has lasting tasks.
    pub(super) fn has_lasting(&self, key: runner::Key) -> bool {
        let mut runs = self.runners[key].runs.iter();
        runs.any(|&run| {
            self.shape(self.runs[run].task)
                .is_some_and(|step| step.lasting)
        })
    }
}
