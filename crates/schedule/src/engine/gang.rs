//! Gang scheduling: steps whose tasks work only while all of them run.

use super::Engine;
use crate::{
    job::{
        Run,
        State,
        StepKey,
        TaskKey,
        run, //
    },
    runner,
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Resource;
use std::collections::HashMap;

impl Engine {
    /// Handles the completion of an attempt of a task. If one member of a gang is done, all members of that attempt
    /// are.
    pub(super) fn complete_attempt(&mut self, task: TaskKey, attempt: u32, now: Time) {
        let Some(active) = self.jobs.get(task.job_key) else {
            return;
        };
        let spec = &active.job.steps[usize::from(task.step)];
        if !spec.gang {
            self.complete_task(task, now);
            return;
        }
        for index in 0..spec.count {
            let member = task.step().task(index);
            // The members end together, and their runners report each end. Runs of a later attempt stay attached, so
            // that they are stopped because the task is done.
            let ended = |run: &run::Key| self.runs[*run].attempt == attempt;
            let runs: Vec<run::Key> = self.runs_of(member).into_iter().filter(ended).collect();
            for run in runs {
                self.detach(run);
            }
            self.complete_task(member, now);
        }
    }

    /// Stops the other members of a gang after a run of one member ended without completing.
    pub(super) fn break_gang(&mut self, run: &Run, now: Time) {
        let gang = self.jobs.get(run.task.job_key).is_some_and(|active| {
            let spec = active.job.steps.get(usize::from(run.task.step));
            spec.is_some_and(|step| step.gang)
        });
        if gang {
            self.stop_step(run.task.step(), "gang-broken", now);
        }
    }

    /// Stops all runs of a step.
    pub(super) fn stop_step(&mut self, step: StepKey, reason: &'static str, now: Time) {
        let Some(active) = self.jobs.get(step.job_key) else {
            return;
        };
        let count = active.job.steps[usize::from(step.step)].count;
        for index in 0..count {
            for run in self.runs_of(step.task(index)) {
                self.stop(run, reason, now);
            }
        }
    }

    /// Returns the runs of a task.
    pub(super) fn runs_of(&self, task: TaskKey) -> Vec<run::Key> {
        let active = self.jobs.get(task.job_key);
        let state = active.and_then(|active| active.task(task.occurrence, task.step, task.index));
        state.map(|state| state.runs.clone()).unwrap_or_default()
    }

    /// Plans runs of all members of a gang if there is capacity for all of them, and returns whether it did.
    pub(super) fn place_gang(&mut self, step: StepKey, now: Time) -> bool {
        let Some(active) = self.jobs.get(step.job_key) else {
            return false;
        };
        let Some(occurrence) = active.occurrence(step.occurrence) else {
            return false;
        };
        let members = occurrence.tasks(&active.job, step.step);
        let waits = |task: &crate::job::Task| {
            task.state == State::Ready && task.runs.is_empty() && now >= task.paused_until
        };
        if !members.iter().all(waits) || self.is_capped(step.task(0)) {
            return false;
        }
        let attempt = members.iter().map(|task| task.attempt).max().unwrap_or(0) + 1;
        let coupled = active.job.steps[usize::from(step.step)].coupled;
        let runners = match coupled {
            true => self
                .racks(step)
                .into_iter()
                .find_map(|rack| self.find_runners(step, Some(&rack), now))
                .or_else(|| self.find_runners(step, None, now)),
            false => self.find_runners(step, None, now),
        };
        let Some(runners) = runners else {
            return false;
        };
        for (index, runner_key) in runners.into_iter().enumerate() {
            let ticket = self.ticket(step, runner_key, now);
            self.plan(step.task(index as u16), runner_key, attempt, ticket, now);
        }
        true
    }

    /// Returns a runner for each member, or `None` if there is not enough capacity.
    fn find_runners(
        &self,
        step: StepKey,
        rack: Option<&str>,
        now: Time,
    ) -> Option<Vec<runner::Key>> {
        let active = &self.jobs[step.job_key];
        let spec = &active.job.steps[usize::from(step.step)];
        let occurrence = active.occurrence(step.occurrence)?;
        let tasks = occurrence.tasks(&active.job, step.step).iter();
        let crashes = tasks.map(|task| task.crashes).max().unwrap_or_default();
        let mut taken: HashMap<runner::Key, (Resource, u16)> = HashMap::new();
        let mut runners = Vec::new();
        for _ in 0..spec.count {
            let runner_key = self.choose(step, None, now, crashes, |key, runner| {
                let (used, count) = taken.get(&key).copied().unwrap_or_default();
                let mut whole = runner.used;
                whole += used;
                rack.is_none_or(|rack| *runner.rack == *rack)
                    && spec
                        .max_per_runner
                        .is_none_or(|max_per_runner| count < max_per_runner)
                    && runner.capacity.fits(whole, spec.reserved())
            })?;
            let entry = taken.entry(runner_key).or_default();
            entry.0 += spec.reserved();
            entry.1 += 1;
            runners.push(runner_key);
        }
        Some(runners)
    }

    /// Returns the racks of the step's pool.
    fn racks(&self, step: StepKey) -> Vec<std::sync::Arc<str>> {
        let pool = self.queues[self.jobs[step.job_key].queue].pool;
        let runners = self.pools[pool].runners.iter();
        let mut racks: Vec<_> = runners.map(|&key| self.runners[key].rack.clone()).collect();
        racks.sort_unstable();
        racks.dedup();
        racks
    }
}
