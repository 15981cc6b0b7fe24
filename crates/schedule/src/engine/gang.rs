//! Steps whose tasks work only together.

use super::Engine;
use crate::{
    runner,
    work::{
        Run,
        State,
        StepKey,
        TaskKey,
        run, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Resource;
use std::collections::HashMap;

impl Engine {
    /// Notes that an attempt of a task is done; the end of one member of a gang stands for all members of that attempt.
    pub(super) fn complete_step(&mut self, task: TaskKey, attempt: u32, now: Time) {
        let Some(work) = self.works.get(task.work) else {
            return;
        };
        let shape = &work.job.steps[usize::from(task.step)];
        if !shape.gang {
            self.complete(task, now);
            return;
        }
        for index in 0..shape.count {
            let member = task.step().task(index);
            // The members end together, and each end is listed by its runner. Runs of a later attempt go on, until they
            // are stopped because the task is done.
            let ended = |run: &run::Key| self.runs[*run].attempt == attempt;
            let runs: Vec<run::Key> = self.runs_of(member).into_iter().filter(ended).collect();
            for run in runs {
                self.detach(run);
            }
            self.complete(member, now);
        }
    }

    /// Stops the other members after the run of one has ended without being done.
    pub(super) fn break_gang(&mut self, run: &Run, now: Time) {
        let gang = self.works.get(run.task.work).is_some_and(|work| {
            let shape = work.job.steps.get(usize::from(run.task.step));
            shape.is_some_and(|step| step.gang)
        });
        if gang {
            self.stop_step(run.task.step(), "gang-broken", now);
        }
    }

    /// Stops all runs of a step.
    pub(super) fn stop_step(&mut self, step: StepKey, reason: &'static str, now: Time) {
        let Some(work) = self.works.get(step.work) else {
            return;
        };
        let count = work.job.steps[usize::from(step.step)].count;
        for index in 0..count {
            for run in self.runs_of(step.task(index)) {
                self.stop(run, reason, now);
            }
        }
    }

    /// Returns the runs of a task.
    pub(super) fn runs_of(&self, task: TaskKey) -> Vec<run::Key> {
        let work = self.works.get(task.work);
        let state = work.and_then(|work| work.task(task.occurrence, task.step, task.index));
        state.map(|state| state.runs.clone()).unwrap_or_default()
    }

    /// Plans all members of a gang at once, if there is room for all. Returns whether it did.
    pub(super) fn place_gang(&mut self, step: StepKey, now: Time) -> bool {
        let Some(work) = self.works.get(step.work) else {
            return false;
        };
        let Some(found) = work.occurrence(step.occurrence) else {
            return false;
        };
        let members = found.tasks(&work.job, step.step);
        let waits = |task: &crate::work::Task| task.state == State::Ready && task.runs.is_empty();
        if !members.iter().all(waits) {
            return false;
        }
        let attempt = members.iter().map(|task| task.attempt).max().unwrap_or(0) + 1;
        let coupled = work.job.steps[usize::from(step.step)].coupled;
        let places = match coupled {
            true => self
                .racks(step)
                .into_iter()
                .find_map(|rack| self.find_places(step, Some(&rack), now))
                .or_else(|| self.find_places(step, None, now)),
            false => self.find_places(step, None, now),
        };
        let Some(places) = places else {
            return false;
        };
        for (index, runner) in places.into_iter().enumerate() {
            let ticket = self.ticket(step, runner, now);
            self.plan(step.task(index as u16), runner, attempt, ticket, now);
        }
        true
    }

    /// Returns a runner for each member, or `None` if there is not room for all.
    fn find_places(
        &self,
        step: StepKey,
        rack: Option<&str>,
        now: Time,
    ) -> Option<Vec<runner::Key>> {
        let work = &self.works[step.work];
        let shape = &work.job.steps[usize::from(step.step)];
        let mut taken: HashMap<runner::Key, (Resource, u16)> = HashMap::new();
        let mut places = Vec::new();
        for _ in 0..shape.count {
            let place = self.choose(step, None, now, |key, runner| {
                let (used, count) = taken.get(&key).copied().unwrap_or_default();
                let mut whole = runner.used;
                whole += used;
                rack.is_none_or(|rack| *runner.rack == *rack)
                    && shape.max_per_runner.is_none_or(|spread| count < spread)
                    && runner.capacity.fits(whole, shape.reserved())
            })?;
            let entry = taken.entry(place).or_default();
            entry.0 += shape.reserved();
            entry.1 += 1;
            places.push(place);
        }
        Some(places)
    }

    /// Returns the racks of a step's pool.
    fn racks(&self, step: StepKey) -> Vec<std::sync::Arc<str>> {
        let pool = self.queues[self.works[step.work].queue].pool;
        let runners = self.pools[pool].runners.iter();
        let mut racks: Vec<_> = runners.map(|&key| self.runners[key].rack.clone()).collect();
        racks.sort_unstable();
        racks.dedup();
        racks
    }
}
