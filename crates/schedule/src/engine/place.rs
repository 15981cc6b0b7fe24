//! Placement: choice of a runner for each waiting task.

use super::Engine;
use crate::{
    job::{
        StepKey,
        TaskKey, //
    },
    queue::{
        Rank,
        key, //
    },
    runner::{
        self,
        Runner, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Resource,
    Step, //
};
use std::collections::HashMap;

/// Number of steps without a runner after which a round of placement stops going through the tasks in their order. It
/// bounds the time of a round while many jobs wait.
const UNPLACED_LIMIT: usize = 24;
/// Number of further steps without a runner after which a round ends.
const TURN_UNPLACED_LIMIT: usize = 8;
/// Number of further tasks that a round looks at. Most of them need no search for a runner while a pool is full.
const TURN_LIMIT: usize = 256;

/// Tasks that found no runner in a round of placement.
#[derive(Debug, Default)]
pub(super) struct Unplaced {
    /// Their steps.
    steps: Vec<StepKey>,
    /// What those of them need for which no runner of the pool has room.
    needs: Vec<Resource>,
    /// The latest step whose tasks have to wait for the cap of their account. It spares a look at each task of a wide step.
    capped: Option<StepKey>,
}

impl Unplaced {
    /// Tells whether so many steps have no runner that the round stops going through the tasks in their order.
    pub(super) fn is_full(&self) -> bool {
        self.steps.len() >= UNPLACED_LIMIT
    }

    /// Tells whether no runner has room for a task, because none has room for one that needs no more.
    fn exceeds_room(&self, need: Resource) -> bool {
        let mut needs = self.needs.iter();
        needs.any(|&unmet| need.fits(Resource::default(), unmet))
    }
}

/// Cost of running a task on a runner; smaller is better. The fields are compared in their order.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Score {
    /// Number of runs at risk because a task may crash the runner.
    exposed: usize,
    /// Expected slowdown of the task and of those already there, by what was observed lately.
    slowdown: u32,
    /// Number of reasons why the task is slower there or slows down others.
    unsuited: u8,
    /// Number of tasks that failed there and say something about the runner.
    failures: usize,
    /// Whether the runner's labels are scarce and the task does not need them.
    labels_scarce: bool,
    /// Whether the runner has no long-running task, so that its host could move to another pool.
    movable: bool,
    /// For a long-running task, the number of tasks of the same step in the same rack.
    together: usize,
    /// Share of the capacity that is free. Full runners are preferred, so that others become empty.
    free: f64,
}

impl Engine {
    /// Plans runs of waiting tasks, as far as there is capacity.
    pub(super) fn place(&mut self, now: Time) {
        let pools: Vec<key::Pool> = self.pools.keys().collect();
        let loads = self.has_accounts.then(|| self.loads());
        for pool in pools {
            if self.pools[pool].ready.is_empty() {
                continue;
            }
            match &loads {
                Some(loads) => self.place_by_share(pool, loads, now),
                None => self.place_pool(pool, now),
            }
        }
    }

    /// Plans runs of the waiting tasks of a pool in their order, until too many of them find no runner.
    ///
    /// Tasks at the front may wait for something that other tasks do not need: a label, a runner that has no task of their
    /// step yet, or an empty runner. So that they do not keep all others waiting, each round also gives a turn to some of
    /// the tasks behind them.
    fn place_pool(&mut self, pool: key::Pool, now: Time) {
        let ready: Vec<Rank> = self.pools[pool].ready.iter().copied().collect();
        let mut unplaced = Unplaced::default();
        for (index, &rank) in ready.iter().enumerate() {
            if unplaced.is_full() {
                self.place_in_turn(pool, &ready[index..], unplaced, now);
                return;
            }
            self.place_rank(pool, rank, &mut unplaced, now);
        }
    }

    /// Plans runs of some of the tasks, beginning after those that had their turn in the round before.
    pub(super) fn place_in_turn(
        &mut self,
        pool: key::Pool,
        ready: &[Rank],
        mut unplaced: Unplaced,
        now: Time,
    ) {
        let limit = unplaced.steps.len() + TURN_UNPLACED_LIMIT;
        let latest = self.pools[pool].latest_turn;
        let first = ready.partition_point(|&rank| latest.is_some_and(|latest| rank <= latest));
        let mut left = TURN_LIMIT;
        for &rank in ready[first..].iter().chain(&ready[..first]) {
            if unplaced.steps.len() >= limit || left == 0 {
                return;
            }
            if self.waits_for_cap(rank, &mut unplaced) {
                continue;
            }
            left -= 1;
            self.pools[pool].latest_turn = Some(rank);
            let spec = self.step_spec(rank.task);
            if !spec.is_some_and(|spec| unplaced.exceeds_room(spec.reserved())) {
                self.place_rank(pool, rank, &mut unplaced, now);
            }
        }
    }

    /// Plans a run of a waiting task, unless another task of its step has found no runner in this round. Returns what was
    /// planned, if anything was.
    pub(super) fn place_rank(
        &mut self,
        pool: key::Pool,
        rank: Rank,
        unplaced: &mut Unplaced,
        now: Time,
    ) -> Option<Resource> {
        let step = rank.task.step();
        if self.waits_for_cap(rank, unplaced) {
            return None;
        }
        if unplaced.steps.contains(&step) || !self.pools[pool].ready.contains(&rank) {
            return None;
        }
        if self.place_task(rank.task, now) {
            return self.start_need(rank.task);
        }
        unplaced.steps.push(step);
        if let Some(need) = self.step_spec(rank.task).map(Step::reserved)
            && !unplaced.exceeds_room(need)
            && !self.has_room(pool, need, now)
        {
            unplaced.needs.push(need);
        }
        None
    }

    /// Tells whether a task waits for the cap of its account. Such tasks do not count as tasks that find no runner.
    fn waits_for_cap(&self, rank: Rank, unplaced: &mut Unplaced) -> bool {
        let step = rank.task.step();
        if unplaced.capped == Some(step) || self.is_exhausted(rank) {
            return true;
        }
        let capped = self.is_capped(rank.task);
        if capped {
            unplaced.capped = Some(step);
        }
        capped
    }

    /// Tells whether any runner of a pool that accepts tasks has room for one.
    fn has_room(&self, pool: key::Pool, need: Resource, now: Time) -> bool {
        let runners = self.pools[pool].runners.iter();
        let mut runners = runners.map(|&key| &self.runners[key]);
        runners.any(|runner| runner.accepts_tasks(now) && runner.fits(need))
    }

    /// Plans a run of a task, or of all members of its gang, and returns whether it did.
    fn place_task(&mut self, task: TaskKey, now: Time) -> bool {
        let Some(active) = self.jobs.get(task.job_key) else {
            return false;
        };
        if active.job.steps[usize::from(task.step)].gang {
            return self.place_gang(task.step(), now);
        }
        let state = active.task(task.occurrence, task.step, task.index);
        let Some(state) = state.filter(|state| now >= state.paused_until) else {
            return false;
        };
        let (avoid, attempt) = (state.avoid, state.attempt);
        let Some(runner_key) = self.choose_runner(task, avoid, now) else {
            self.ask_advice(task.step(), now);
            return false;
        };
        let ticket = self.ticket(task.step(), runner_key, now);
        self.plan(task, runner_key, attempt + 1, ticket, now);
        true
    }

    /// Plans a second run of a speculative task, if it has one run and no task of the pool waits.
    pub(super) fn place_speculative(&mut self, task: TaskKey, now: Time) {
        let Some(active) = self.jobs.get(task.job_key) else {
            return;
        };
        let pool = self.queues[active.queue].pool;
        let idle = self.startable_tasks(pool).next().is_none();
        let Some(state) = active.task(task.occurrence, task.step, task.index) else {
            return;
        };
        if state.runs.len() != 1 || !idle || self.is_capped(task) {
            return;
        }
        let (avoid, attempt) = (state.avoid, state.attempt);
        let runner_key = self.choose_runner(task, avoid, now);
        if let Some(runner_key) = runner_key.filter(|&runner_key| Some(runner_key) != avoid) {
            let ticket = self.ticket(task.step(), runner_key, now);
            self.plan(task, runner_key, attempt + 1, ticket, now);
        }
    }

    /// Returns whether a runner other than `runner_key` has capacity for a task.
    pub(super) fn fits_elsewhere(&self, task: TaskKey, runner_key: runner::Key, now: Time) -> bool {
        let other = self.choose_runner(task, Some(runner_key), now);
        other.is_some_and(|other| other != runner_key)
    }

    /// Returns the best runner for a task among those with enough capacity.
    pub(super) fn choose_runner(
        &self,
        task: TaskKey,
        avoid: Option<runner::Key>,
        now: Time,
    ) -> Option<runner::Key> {
        let spec = self.step_spec(task)?;
        let (need, max_per_runner) = (spec.reserved(), spec.max_per_runner);
        let room = |key, runner: &Runner| {
            runner.fits(need)
                && max_per_runner.is_none_or(|max_per_runner| {
                    self.count(key, task.step()) < usize::from(max_per_runner)
                })
        };
        let state = self.jobs[task.job_key].task(task.occurrence, task.step, task.index);
        let crashes = state.map_or(0, |state| state.crashes);
        self.choose(task.step(), avoid, now, crashes, room)
    }

    /// Returns the best runner for a task of the step among those for which `room` returns true. `crashes` is the number of
    /// runners that the task may have crashed.
    pub(super) fn choose(
        &self,
        step: StepKey,
        avoid: Option<runner::Key>,
        now: Time,
        crashes: u8,
        room: impl Fn(runner::Key, &Runner) -> bool,
    ) -> Option<runner::Key> {
        let active = &self.jobs[step.job_key];
        let queue = &self.queues[active.queue];
        let spec = &active.job.steps[usize::from(step.step)];
        let suits = |key: runner::Key, runner: &Runner| {
            runner.accepts_tasks(now)
                && spec
                    .label
                    .as_ref()
                    .is_none_or(|label| runner.has_label(label))
                && room(key, runner)
                && self.may_share(runner, crashes, now)
                && (!queue.advised || self.ticket(step, key, now).is_some())
        };
        let racks = self.count_by_rack(step, spec);
        let partners = self.partners(spec, &queue.name);
        let candidates = self.pools[queue.pool].runners.iter();
        let mut best: Option<(Score, runner::Key)> = None;
        for &key in candidates {
            let runner = &self.runners[key];
            if !suits(key, runner) {
                continue;
            }
            let mut score = self.score(spec, &racks, key, crashes, now);
            score.slowdown = self.slowdown_beside(&partners, key);
            if avoid == Some(key) {
                score.failures += 1;
            }
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn score(
        &self,
        spec: &Step,
        racks: &HashMap<&str, usize>,
        key: runner::Key,
        crashes: u8,
        now: Time,
    ) -> Score {
        let runner = &self.runners[key];
        let other_rack = spec
            .data_rack
            .as_ref()
            .is_some_and(|rack| *runner.rack != **rack);
        let disturbs = (spec.uses_spare_cpu && runner.serving > 0)
            || (spec.target.is_some() && runner.background > 0);
        let mut required = spec.label.iter().chain(&spec.data_rack);
        Score {
            exposed: self.exposed(runner, crashes, now),
            slowdown: 0,
            unsuited: u8::from(other_rack) + u8::from(disturbs),
            failures: runner.failed.len(),
            labels_scarce: runner.labels_scarce && !required.any(|label| runner.has_label(label)),
            movable: runner.long_running == 0,
            together: racks.get(&*runner.rack).copied().unwrap_or_default(),
            free: 1.0 - runner.capacity.share(runner.used),
        }
    }

    /// Returns the number of a step's runs on a runner.
    pub(super) fn count(&self, key: runner::Key, step: StepKey) -> usize {
        let runs = self.runners[key].runs.iter();
        runs.filter(|&&run| self.runs[run].task.step() == step)
            .count()
    }

    /// Returns the number of a long-running step's runs in each rack.
    fn count_by_rack(&self, step: StepKey, spec: &Step) -> HashMap<&str, usize> {
        let active = &self.jobs[step.job_key];
        let mut counts = HashMap::new();
        let Some(occurrence) = active
            .occurrence(step.occurrence)
            .filter(|_| spec.long_running)
        else {
            return counts;
        };
        let tasks = occurrence.tasks(&active.job, step.step).iter();
        let runners = tasks.flat_map(|task| &task.runs);
        for runner in runners.filter_map(|&run| self.runners.get(self.runs[run].runner)) {
            *counts.entry(&*runner.rack).or_default() += 1;
        }
        counts
    }

    /// Returns the specification of a task's step.
    pub(super) fn step_spec(&self, task: TaskKey) -> Option<&Step> {
        let active = self.jobs.get(task.job_key)?;
        active.job.steps.get(usize::from(task.step))
    }
}
