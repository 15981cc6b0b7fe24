//! Moves background tasks away from serving tasks that they slow down.

use super::{
    Engine,
    straggler::RESTART_LIMIT, //
};
use crate::{
    job::run::{
        self,
        Stage, //
    },
    runner::{
        self,
        Runner, //
    },
};
use sassafrascrank_base::prelude::*;

/// Time between two searches.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of tasks for which another runner is looked for in one search. Each looks at all runners of a pool.
const SEARCH_LIMIT: usize = 8;
/// Time for which a task has to be throttled before it is moved. Within it, slower work may suffice.
const THROTTLED_MIN: Duration = Duration::from_secs(1);
/// Time between two moves in a pool, so that the effect of one is seen before the next.
const POOL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two moves of a task.
const TASK_INTERVAL: Duration = Duration::from_secs(10);
/// Progress in percent from which a task without checkpoints is not moved, since more than half of its work would be lost.
const MOVABLE_PERCENT: u8 = 50;

impl Engine {
    /// Stops background tasks that are throttled beside serving tasks, where another runner has room and less expected
    /// slowdown.
    pub(super) fn separate(&mut self, now: Time) {
        if self.contention.is_quiet() || now < self.separation_checked + CHECK_INTERVAL {
            return;
        }
        self.separation_checked = now;
        let mixed = |runner: &Runner| runner.background > 0 && runner.serving > 0;
        let runners = self.runners.iter().filter(|(_, runner)| mixed(runner));
        let mut keys: Vec<runner::Key> = runners.map(|(key, _)| key).collect();
        // The search goes on after the runner at which the last one has ended.
        keys.sort_unstable_by_key(|&key| (key <= self.separation_end, key));
        let mut searches = SEARCH_LIMIT;
        for key in keys {
            if searches == 0 {
                return;
            }
            self.separation_end = key;
            self.separate_on(key, &mut searches, now);
        }
    }

    /// Stops a background task on a runner if it should be moved.
    fn separate_on(&mut self, key: runner::Key, searches: &mut usize, now: Time) {
        let pool = self.runners[key].pool;
        if now < self.pools[pool].separated_at + POOL_INTERVAL {
            return;
        }
        let mut runs = self.runners[key].runs.iter().copied();
        let Some(run) = runs.find(|&run| self.may_separate(run, searches, now)) else {
            return;
        };
        self.pools[pool].separated_at = now;
        let task = self.runs[run].task;
        if let Some(state) = self.task_mut(task) {
            state.separated_at = now;
            state.restarts = state.restarts.saturating_add(1);
            state.avoid = Some(key);
        }
        self.stop(run, "contention", now);
    }

    /// Returns whether a run is of a background task that should be moved, may be stopped, and can start elsewhere with less
    /// expected slowdown.
    fn may_separate(&self, key: run::Key, searches: &mut usize, now: Time) -> bool {
        let run = &self.runs[key];
        let throttled = run.influence.throttled_since;
        let long_enough = throttled.is_some_and(|since| now > since + THROTTLED_MIN);
        if !long_enough || run.stage != Stage::Running {
            return false;
        }
        let Some(spec) = self.step_spec(run.task).filter(|spec| !spec.gang) else {
            return false;
        };
        let active = &self.jobs[run.task.job_key];
        let Some(state) = active.task(run.task.occurrence, run.task.step, run.task.index) else {
            return false;
        };
        let worthwhile = spec.long_running
            || (state.restarts < RESTART_LIMIT
                && (spec.checkpoints || run.percent < MOVABLE_PERCENT));
        let due = now >= state.separated_at + TASK_INTERVAL || state.separated_at == Time::MIN;
        let movable = self.is_within_budget(run, now) && self.may_return(run);
        if !worthwhile || !due || state.runs.len() > 1 || !movable {
            return false;
        }
        let partners = self.partners(spec, &self.queues[active.queue].name);
        let here = self.slowdown_by(&partners, run);
        if here == 0 || *searches == 0 {
            return false;
        }
        *searches -= 1;
        let other = self.choose_runner(run.task, Some(run.runner), now);
        other.is_some_and(|other| {
            other != run.runner && self.slowdown_beside(&partners, other) < here
        })
    }
}
