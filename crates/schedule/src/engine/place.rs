//! Choice of a runner for each task that waits.

use super::Engine;
use crate::{
    queue::{
        Rank,
        key, //
    },
    runner::{
        self,
        Runner, //
    },
    work::{
        StepKey,
        TaskKey, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Step;

/// Steps that did not fit, after which a round of placement ends. It bounds the time of a round while many jobs wait.
const MISS_LIMIT: usize = 24;

/// How badly a runner suits a task; smaller is better.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Score {
    /// The task is slower there, or disturbs others.
    unsuited: u8,
    /// Jobs that failed there in a row.
    failures: u32,
    /// Tasks that ask for its labels or its rack need it, and this one does not.
    scarce: bool,
    /// It has no task that lasts, so its host could be given away.
    movable: bool,
    /// Tasks of the same step in the same rack, for tasks that last.
    together: usize,
    /// Share of the capacity that is free; full runners come first, so that others become empty.
    free: f64,
}

impl Engine {
    /// Plans the start of tasks that wait, as far as there is room.
    pub(super) fn place(&mut self, now: Time) {
        let pools: Vec<key::Pool> = self.pools.keys().collect();
        for pool in pools {
            if !self.pools[pool].ready.is_empty() {
                self.place_pool(pool, now);
            }
        }
    }

    fn place_pool(&mut self, pool: key::Pool, now: Time) {
        let ready: Vec<Rank> = self.pools[pool].ready.iter().copied().collect();
        let mut missed: Vec<StepKey> = Vec::new();
        for rank in ready {
            if missed.len() >= MISS_LIMIT {
                return;
            }
            let step = rank.task.step();
            if missed.contains(&step) || !self.pools[pool].ready.contains(&rank) {
                continue;
            }
            if !self.place_task(rank.task, now) {
                missed.push(step);
            }
        }
    }

    /// Plans a task, or all members of its gang. Returns whether it did.
    fn place_task(&mut self, task: TaskKey, now: Time) -> bool {
        let Some(work) = self.works.get(task.work) else {
            return false;
        };
        if work.job.steps[usize::from(task.step)].gang {
            return self.place_gang(task.step(), now);
        }
        let state = work.task(task.occurrence, task.step, task.index);
        let Some((avoid, attempt)) = state.map(|state| (state.avoid, state.attempt)) else {
            return false;
        };
        let Some(place) = self.choose_for(task, avoid, now) else {
            self.ask_advice(task.step(), now);
            return false;
        };
        let ticket = self.ticket(task.step(), place, now);
        self.plan(task, place, attempt + 1, ticket, now);
        true
    }

    /// Plans a second run of a task beside its first one, if there is room that nobody waits for.
    pub(super) fn place_second(&mut self, task: TaskKey, now: Time) {
        let Some(work) = self.works.get(task.work) else {
            return;
        };
        let idle = self.pools[self.queues[work.queue].pool].ready.is_empty();
        let Some(state) = work.task(task.occurrence, task.step, task.index) else {
            return;
        };
        if state.runs.len() != 1 || !idle {
            return;
        }
        let (avoid, attempt) = (state.avoid, state.attempt);
        let place = self.choose_for(task, avoid, now);
        if let Some(place) = place.filter(|&place| Some(place) != avoid) {
            let ticket = self.ticket(task.step(), place, now);
            self.plan(task, place, attempt + 1, ticket, now);
        }
    }

    /// Tells whether a task could run elsewhere than at `place`.
    pub(super) fn has_room(&self, task: TaskKey, place: runner::Key, now: Time) -> bool {
        let other = self.choose_for(task, Some(place), now);
        other.is_some_and(|other| other != place)
    }

    /// Returns the best runner for a task that has room for it.
    pub(super) fn choose_for(
        &self,
        task: TaskKey,
        avoid: Option<runner::Key>,
        now: Time,
    ) -> Option<runner::Key> {
        let shape = self.shape(task)?;
        let (need, spread) = (shape.reserved(), shape.max_per_runner);
        let room = |key, runner: &Runner| {
            runner.fits(need)
                && spread.is_none_or(|spread| self.count(key, task.step()) < usize::from(spread))
        };
        self.choose(task.step(), avoid, now, room)
    }

    /// Returns the best runner for a task of the step among those that have `room`.
    pub(super) fn choose(
        &self,
        step: StepKey,
        avoid: Option<runner::Key>,
        now: Time,
        room: impl Fn(runner::Key, &Runner) -> bool,
    ) -> Option<runner::Key> {
        let work = &self.works[step.work];
        let queue = &self.queues[work.queue];
        let shape = &work.job.steps[usize::from(step.step)];
        let suits = |key: runner::Key, runner: &Runner| {
            runner.is_open(now)
                && shape
                    .label
                    .as_ref()
                    .is_none_or(|label| runner.has_label(label))
                && room(key, runner)
                && (!queue.advised || self.ticket(step, key, now).is_some())
        };
        let candidates = self.pools[queue.pool].runners.iter();
        let mut best: Option<(Score, runner::Key)> = None;
        for &key in candidates {
            let runner = &self.runners[key];
            if !suits(key, runner) {
                continue;
            }
            let mut score = self.score(step, shape, key, runner);
            if avoid == Some(key) {
                score.failures += 1;
            }
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn score(&self, step: StepKey, shape: &Step, key: runner::Key, runner: &Runner) -> Score {
        let far = shape
            .data_rack
            .as_ref()
            .is_some_and(|rack| *runner.rack != **rack);
        let disturbs = (shape.uses_spare_cpu && self.serves(key))
            || (shape.target.is_some() && self.fills(key));
        let mut asked = shape.label.iter().chain(&shape.data_rack);
        let together = match shape.long_running {
            true => self.count_in_rack(step, &runner.rack),
            false => 0,
        };
        Score {
            unsuited: u8::from(far) + u8::from(disturbs),
            failures: runner.failures,
            scarce: runner.scarce && !asked.any(|label| runner.has_label(label)),
            movable: !self.has_lasting(key),
            together,
            free: 1.0 - runner.capacity.share(runner.used),
        }
    }

    /// Returns the number of a step's runs at a runner.
    pub(super) fn count(&self, key: runner::Key, step: StepKey) -> usize {
        let runs = self.runners[key].runs.iter();
        runs.filter(|&&run| self.runs[run].task.step() == step)
            .count()
    }

    /// Returns the number of a step's runs in a rack.
    fn count_in_rack(&self, step: StepKey, rack: &str) -> usize {
        let work = &self.works[step.work];
        let Some(found) = work.occurrence(step.occurrence) else {
            return 0;
        };
        let tasks = found.tasks(&work.job, step.step).iter();
        let places = tasks.flat_map(|task| &task.runs);
        let places = places.filter_map(|&run| self.runners.get(self.runs[run].runner));
        places.filter(|runner| *runner.rack == *rack).count()
    }

    /// Tells whether a task with a bound on its response times runs at a runner.
    pub(super) fn serves(&self, key: runner::Key) -> bool {
        let mut runs = self.runners[key].runs.iter();
        runs.any(|&run| {
            self.shape(self.runs[run].task)
                .is_some_and(|step| step.target.is_some())
        })
    }

    /// Tells whether a task that fills runs at a runner.
    pub(super) fn fills(&self, key: runner::Key) -> bool {
        let mut runs = self.runners[key].runs.iter();
        runs.any(|&run| {
            self.shape(self.runs[run].task)
                .is_some_and(|step| step.uses_spare_cpu)
        })
    }

    /// Returns the step of a task as its caller described it.
    pub(super) fn shape(&self, task: TaskKey) -> Option<&Step> {
        let work = self.works.get(task.work)?;
        work.job.steps.get(usize::from(task.step))
    }
}
