//! Ends of runs.

use super::{
    Engine,
    engine::Effect, //
};
use crate::{
    note::{
        Kind,
        Note, //
    },
    order::report::{
        EndReason, //
        Ended,
    },
    runner,
    work::{
        State,
        TaskKey,
        run, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::progress::Outcome;

/// Failures in a row, of different jobs, after which a runner gets no work for a while. One job that fails
/// everywhere does not count against the runners.
const FAILURE_LIMIT: u32 = 3;
/// Limit on the growth of the time without work, in doublings.
const QUARANTINE_DOUBLINGS: u32 = 3;

impl Engine {
    /// Takes the ends that a runner lists. They are acknowledged once the log holds what follows from them.
    pub(super) fn take_ends(&mut self, key: runner::Key, mut ends: Vec<Ended>, now: Time) {
        ends.sort_unstable_by_key(|end| end.number);
        let mut last = None;
        for end in ends {
            let Some(runner) = self.runners.get_mut(key) else {
                return;
            };
            if end.number <= runner.read {
                continue;
            }
            runner.read = end.number;
            last = Some(end.number);
            self.take_end(key, end, now);
        }
        if let Some(number) = last {
            self.effects.push(Effect::Acknowledge(key, number));
        }
    }

    fn take_end(&mut self, place: runner::Key, end: Ended, now: Time) {
        let Some(&work) = self.work_index.get(&end.task.job) else {
            return;
        };
        let position = end.task.position;
        let task = TaskKey {
            work,
            occurrence: position.occurrence,
            step: position.step,
            index: position.index,
        };
        let found = self.works[work].task(task.occurrence, task.step, task.index);
        let Some(state) = found else {
            return;
        };
        let matches = |key: &&run::Key| {
            let run = &self.runs[**key];
            run.attempt == end.attempt && run.runner == place
        };
        let run = state.runs.iter().find(matches).copied();
        let known = end.attempt <= state.attempt && state.state != State::Done;
        let Some(run) = run.and_then(|run| self.detach(run)) else {
            // The run was given up after its lease. Its result still counts if nobody else has it.
            if end.reason == EndReason::Done && known {
                self.complete_step(task, end.attempt, now);
            }
            return;
        };
        self.note_run(Kind::Ended, end.reason.as_str(), &run, now);
        self.keep_checkpoint(task, end.checkpoint);
        match end.reason {
            EndReason::Done => {
                self.trust(place);
                self.learn_time(&run, now);
                self.complete_step(task, end.attempt, now);
            }
            EndReason::Failed => self.fail(task, place, now),
            EndReason::Stopped
            | EndReason::LeaseExpired
            | EndReason::GangBroken
            | EndReason::GangIncomplete => {
                self.make_ready(task);
                self.break_gang(&run, now);
            }
        }
    }

    /// Keeps the latest checkpoint of a task; that of a gang's member counts for all members.
    pub(super) fn keep_checkpoint(
        &mut self,
        task: TaskKey,
        checkpoint: Option<std::sync::Arc<str>>,
    ) {
        let Some(checkpoint) = checkpoint else {
            return;
        };
        let Some(work) = self.works.get_mut(task.work) else {
            return;
        };
        let shape = work.job.steps.get(usize::from(task.step));
        let gang = shape.is_some_and(|step| step.gang);
        let count = shape.map_or(0, |step| step.count);
        let members = match gang {
            true => 0..count,
            false => task.index..task.index + 1,
        };
        for index in members {
            if let Some(state) = work.task_mut(task.occurrence, task.step, index)
                && state.state != State::Done
            {
                state.checkpoint = Some(checkpoint.clone());
            }
        }
    }

    /// Counts a failed attempt.
    fn fail(&mut self, task: TaskKey, place: runner::Key, now: Time) {
        self.distrust(place, now);
        let Some(work) = self.works.get_mut(task.work) else {
            return;
        };
        let limit = self.queues[work.queue].attempts;
        let lasting = work.job.steps[usize::from(task.step)].lasting;
        let gang = work.job.steps[usize::from(task.step)].gang;
        let Some(state) = work.task_mut(task.occurrence, task.step, task.index) else {
            return;
        };
        state.failures = state.failures.saturating_add(1);
        state.avoid = Some(place);
        let failed = !lasting && state.failures >= limit;
        if failed && work.outcome.is_none() {
            self.finish(task.work, Outcome::Failed, "attempts", now);
        }
        self.make_ready(task);
        if gang {
            self.stop_step(task.step(), "gang-broken", now);
        }
    }

    /// Notes that a runner has done a task.
    fn trust(&mut self, key: runner::Key) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.failures = 0;
            runner.quarantines = 0;
        }
    }

    /// Notes that a task failed at a runner.
    fn distrust(&mut self, key: runner::Key, now: Time) {
        let quarantine = self.rules.quarantine;
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        runner.failures += 1;
        if runner.failures < FAILURE_LIMIT {
            return;
        }
        let doublings = runner.quarantines.min(QUARANTINE_DOUBLINGS);
        runner.quarantines += 1;
        runner.quarantine = now + quarantine * (1 << doublings);
        // One more failure after the quarantine is enough for the next one.
        runner.failures = FAILURE_LIMIT - 1;
        let id = runner.id.clone();
        self.note(Note::new(Kind::RunnerQuarantined, "failures", now).with_place(&id));
    }
}
