//! Eviction of long-running tasks from runners that leave or whose hosts are about to be moved or maintained.

use super::Engine;
use crate::{
    job::{
        ActiveJob, Run, State,
        run::{
            self,
            Stage, //
        },
    },
    runner::{
        self,
        Runner, //
    },
};
use sassafrascrank_base::prelude::*;

/// Percentage that a long-running task reports once it works at full speed.
const FULL_PERCENT: u8 = 100;

impl Engine {
    /// Stops long-running tasks on runners that leave or are closed, as far as the disruption budgets of their steps
    /// allow.
    pub(super) fn evict(&mut self, now: Time) {
        let leaving = |runner: &Runner| runner.closing || runner.leaves_at.is_some();
        let keys = self
            .runners
            .iter()
            .filter(|(_, runner)| runner.long_running > 0 && leaving(runner));
        let keys: Vec<runner::Key> = keys.map(|(key, _)| key).collect();
        for key in keys {
            for run in self.runners[key].runs.clone() {
                let draining = self.runners[key].leaves_at.is_some();
                if self.may_evict(run, draining, now) {
                    let reason = if draining { "draining" } else { "closing" };
                    self.stop(run, reason, now);
                }
            }
        }
    }

    /// Returns whether a run is of a long-running task that may be stopped and can start elsewhere.
    fn may_evict(&self, key: run::Key, draining: bool, now: Time) -> bool {
        let run = &self.runs[key];
        let Some(spec) = self.step_spec(run.task) else {
            return false;
        };
        if !spec.long_running || run.stage != Stage::Running {
            return false;
        }
        // Stops on a draining runner do not count against the budget.
        if !draining && !self.is_within_budget(run, now) {
            return false;
        }
        self.may_return(run)
            && self
                .choose_runner(run.task, Some(run.runner), now)
                .is_some()
    }

    /// Returns whether a stop that was not answered may be ordered again. The budget may have been used up since the first
    /// order, which may not have arrived.
    pub(super) fn may_repeat_stop(&self, run: &Run, now: Time) -> bool {
        let ended = |active: &ActiveJob| active.outcome.is_some();
        let draining = |runner: &Runner| runner.leaves_at.is_some();
        let long_running = self
            .step_spec(run.task)
            .is_some_and(|spec| spec.long_running);
        !long_running
            || self.jobs.get(run.task.job_key).is_some_and(ended)
            || self.runners.get(run.runner).is_some_and(draining)
            || self.is_within_budget(run, now)
    }

    /// Returns whether the disruption budget of the step allows a stop: fewer of its other tasks are down than may be
    /// missed.
    pub(super) fn is_within_budget(&self, run: &Run, now: Time) -> bool {
        let Some(spec) = self.step_spec(run.task) else {
            return false;
        };
        let Some(budget) = spec.max_unavailable else {
            return true;
        };
        self.count_away(run, now) < usize::from(budget)
    }

    /// Returns the number of other tasks of the step that are not at full speed.
    fn count_away(&self, run: &Run, now: Time) -> usize {
        let Some(active) = self.jobs.get(run.task.job_key) else {
            return 0;
        };
        let Some(occurrence) = active.occurrence(run.task.occurrence) else {
            return 0;
        };
        let tasks = occurrence
            .tasks(&active.job, run.task.step)
            .iter()
            .enumerate();
        let others = tasks.filter(|(index, _)| *index != usize::from(run.task.index));
        others
            .filter(|(_, task)| task.state != State::Done)
            .filter(|(_, task)| !task.runs.iter().any(|&run| self.is_fully_working(run, now)))
            .count()
    }

    /// Returns whether a run of a long-running task works at full speed, as far as is known.
    ///
    /// A former leader may have ordered the run to stop just before the runner learned of this leader. The runner
    /// reports it as alive until the stop has ended, so a run that was adopted counts only after that time.
    fn is_fully_working(&self, key: run::Key, now: Time) -> bool {
        let run = &self.runs[key];
        let reachable = |runner: &Runner| runner.misses == 0 && runner.fenced;
        let stop_is_over = |at: Time| now > at + self.rules.stop_limit + self.rules.margin;
        run.stage == Stage::Running
            && run.adopted.is_none_or(stop_is_over)
            && run.percent >= FULL_PERCENT
            && self.runners.get(run.runner).is_some_and(reachable)
    }

    /// Returns whether the budgets of the long-running tasks on a runner allow its host to be emptied now.
    pub(super) fn can_be_emptied(&self, key: runner::Key, now: Time) -> bool {
        self.runners[key].runs.iter().all(|&run| {
            let run = &self.runs[run];
            let long_running = self
                .step_spec(run.task)
                .is_some_and(|step| step.long_running);
            !long_running || self.is_within_budget(run, now)
        })
    }
}
