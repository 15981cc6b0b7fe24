//! Handling of the ends of runs.

use super::{
    Engine,
    engine::Effect, //
};
use crate::{
    job::{
        State,
        TaskKey,
        run, //
    },
    note::Kind,
    order::report::{
        EndReason,
        Ended, //
    },
    runner,
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::progress::Outcome;

impl Engine {
    /// Handles the ends that a runner reports. They are acknowledged once the log has their consequences.
    pub(super) fn handle_ends(&mut self, key: runner::Key, mut ends: Vec<Ended>, now: Time) {
        ends.sort_unstable_by_key(|end| end.number);
        let mut last = None;
        for end in ends {
            let Some(runner) = self.runners.get_mut(key) else {
                return;
            };
            if end.number <= runner.last_end {
                continue;
            }
            runner.last_end = end.number;
            last = Some(end.number);
            self.handle_end(key, end, now);
        }
        if let Some(number) = last {
            self.effects.push(Effect::Acknowledge(key, number));
        }
    }

    fn handle_end(&mut self, runner_key: runner::Key, end: Ended, now: Time) {
        let Some(&job_key) = self.job_index.get(&end.task.job) else {
            return;
        };
        let task = TaskKey::new(job_key, end.task.position);
        let task_state = self.jobs[job_key].task(task.occurrence, task.step, task.index);
        let Some(state) = task_state else {
            return;
        };
        let matches = |key: &&run::Key| {
            let run = &self.runs[**key];
            run.attempt == end.attempt && run.runner == runner_key
        };
        let run = state.runs.iter().find(matches).copied();
        if let Some(run) = run {
            self.runs[run].starts.list();
        }
        let known = end.attempt <= state.attempt && state.state != State::Done;
        let Some(run) = run.and_then(|run| self.detach(run)) else {
            // The run was given up after its lease had ended. Its result counts if the task is not done yet.
            if end.reason == EndReason::Done && known {
                self.complete_attempt(task, end.attempt, now);
            }
            return;
        };
        self.note_run(Kind::Ended, end.reason.as_str(), &run, now);
        self.keep_checkpoint(task, end.checkpoint);
        match end.reason {
            EndReason::Done => {
                self.record_success(runner_key);
                self.record_duration(&run, now);
                self.complete_attempt(task, end.attempt, now);
            }
            EndReason::Failed => self.fail_attempt(task, runner_key, now),
            EndReason::Stopped
            | EndReason::LeaseExpired
            | EndReason::GangBroken
            | EndReason::GangIncomplete => {
                self.make_ready(task);
                self.break_gang(&run, now);
            }
        }
    }

    /// Keeps the latest checkpoint of a task. The checkpoint of one member of a gang is that of all members.
    pub(super) fn keep_checkpoint(
        &mut self,
        task: TaskKey,
        checkpoint: Option<std::sync::Arc<str>>,
    ) {
        let Some(checkpoint) = checkpoint else {
            return;
        };
        let Some(active) = self.jobs.get_mut(task.job_key) else {
            return;
        };
        let spec = active.job.steps.get(usize::from(task.step));
        let gang = spec.is_some_and(|step| step.gang);
        let count = spec.map_or(0, |step| step.count);
        let members = match gang {
            true => 0..count,
            false => task.index..task.index + 1,
        };
        for index in members {
            if let Some(state) = active.task_mut(task.occurrence, task.step, index)
                && state.state != State::Done
            {
                state.checkpoint = Some(checkpoint.clone());
            }
        }
    }

    /// Handles a failed attempt of a task, and ends its job after too many of them.
    fn fail_attempt(&mut self, task: TaskKey, runner_key: runner::Key, now: Time) {
        let Some(active) = self.jobs.get_mut(task.job_key) else {
            return;
        };
        let limit = self.queues[active.queue].attempts;
        let long_running = active.job.steps[usize::from(task.step)].long_running;
        let gang = active.job.steps[usize::from(task.step)].gang;
        let Some(state) = active.task_mut(task.occurrence, task.step, task.index) else {
            return;
        };
        state.failures = state.failures.saturating_add(1);
        state.avoid = Some(runner_key);
        let failures = state.failures;
        let failed = !long_running && failures >= limit;
        if failed && active.outcome.is_none() {
            self.finish_job(task.job_key, Outcome::Failed, "attempts", now);
        }
        self.record_failure(task, failures, runner_key, now);
        self.make_ready(task);
        if gang {
            self.stop_step(task.step(), "gang-broken", now);
        }
    }
}
