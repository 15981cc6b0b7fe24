//! Runners on which tasks are much slower than they should be, or stand still.
//!
//! A runner shows the progress of what it runs, from which the whole time of each run follows. A runner whose runs take
//! a multiple of the time of other tasks of their steps gets no work for a while. Its runs start again elsewhere if they
//! would end sooner there; a speculative task gets a second run beside the first one.

use super::Engine;
use crate::{
    note::{
        Kind,
        Note, //
    },
    runner,
    work::{
        self, Run,
        run::{
            self,
            Stage, //
        },
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Step;
use std::collections::BTreeSet;

/// Time between two rounds.
const INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two views of a run from which its speed is taken.
const SPAN: Duration = Duration::from_millis(150);
/// Time without progress after which a run stands still, and the same as a part of the usual time of the task, in
/// percent: progress is shown in whole percent, so that long tasks seldom show any.
const STILL: Duration = Duration::from_millis(600);
const STILL_PART: u32 = 4;
/// Restarts of a task for the sake of time. A runner whose figures are wrong would otherwise keep a task from its end.
const RESTARTS: u8 = 2;
/// Multiple of the usual time, in percent, at which a runner is slow. Single tasks of a step take up to four times as
/// long as others.
const SLOW: u64 = 350;
/// Runs from which the speed of a runner is taken, and jobs that they belong to, at the least.
const RUNS: usize = 4;
const JOBS: usize = 2;
/// Time for which a slow runner gets no work, doubled each time in a row.
const REST: Duration = Duration::from_millis(1_500);
/// Limit on that growth, in doublings.
const REST_DOUBLINGS: u32 = 2;
/// Part of a pool that may rest at once, as a divisor; a pool that is slow as a whole is better than none.
const REST_SHARE: usize = 4;
/// Time that a restart has to gain at least.
const GAIN: Duration = Duration::from_millis(200);
/// Weight of a new sample, as a divisor, in the usual ratio of a queue's actual times to the callers' estimates.
const WEIGHT: u64 = 16;
/// Bounds of that ratio in percent, so that a few odd jobs don't distort it.
const RATIO_MIN: u64 = 30;
const RATIO_MAX: u64 = 300;

/// Why a runner is slow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// Its runs take so many percent of their usual time.
    Slow(u64),
    /// A run stands still.
    Standstill,
}

impl Cause {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Slow(_) => "slow",
            Self::Standstill => "standstill",
        }
    }
}

/// How a run gets on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Pace {
    run: run::Key,
    /// Whole time, if it goes on like this; `None` for a run that stands still.
    whole: Option<Duration>,
    /// Usual time of such a task.
    usual: Duration,
    /// Progress in percent.
    done: u8,
}

impl Pace {
    /// Returns the whole time in percent of the usual time.
    fn percent(&self) -> Option<u64> {
        let usual = self.usual.as_millis().max(1) as u64;
        self.whole
            .map(|whole| whole.as_millis() as u64 * 100 / usual)
    }

    /// Returns the time that is left, if it goes on like this.
    fn left(&self) -> Duration {
        let missing = u32::from(100 - self.done.min(100));
        self.whole
            .map_or(Duration::MAX, |whole| whole * missing / 100)
    }

    /// Returns the time of a new run elsewhere.
    fn again(&self, cause: Cause) -> Duration {
        match (cause, self.whole) {
            (Cause::Slow(percent), Some(whole)) => whole * 100 / percent.max(1) as u32,
            _ => self.usual,
        }
    }
}

impl Engine {
    /// Notes how long a task has taken that is done.
    pub(super) fn learn_time(&mut self, run: &Run, now: Time) {
        let Some(shape) = self.shape(run.task) else {
            return;
        };
        let estimate = shape.estimate.as_millis() as u64;
        let (Some(started), Some(work)) = (run.started, self.works.get(run.task.work)) else {
            return;
        };
        if estimate == 0 || shape.gang || shape.lasting {
            return;
        }
        let spent = now.since(started);
        let sample = (spent.as_millis() as u64 * 100 / estimate).clamp(RATIO_MIN, RATIO_MAX);
        let queue = &mut self.queues[work.queue];
        queue.ratio = (queue.ratio * (WEIGHT - 1) + sample) / WEIGHT;
        if let Some(work) = self.works.get_mut(run.task.work)
            && let Some(found) = work.occurrence_mut(run.task.occurrence)
        {
            let done = &mut found.steps[usize::from(run.task.step)].done;
            done.count += 1;
            done.spent += spent;
        }
    }

    /// Finds slow runners and takes their runs away.
    pub(super) fn relieve(&mut self, now: Time) {
        if now < self.relieved + INTERVAL {
            return;
        }
        self.relieved = now;
        let keys: Vec<runner::Key> = self.runners.keys().collect();
        for key in keys {
            let paces = self.paces(key);
            if let Some(cause) = self.slowness(&paces) {
                self.rest(key, cause, now);
                for pace in paces {
                    self.restart(pace, cause, now);
                }
            }
        }
    }

    /// Returns how the runs of a runner get on, as far as that is known.
    fn paces(&self, key: runner::Key) -> Vec<Pace> {
        let runner = &self.runners[key];
        if runner.misses > 0 || !runner.fenced {
            return Vec::new();
        }
        runner
            .runs
            .iter()
            .filter_map(|&run| self.measure(run))
            .collect()
    }

    fn measure(&self, key: run::Key) -> Option<Pace> {
        let run = &self.runs[key];
        let shape = self.shape(run.task)?;
        // A gang waits for its members, what fills is slowed down on purpose, and what lasts has no end.
        let steady = !(shape.gang || shape.fills || shape.lasting || shape.estimate.is_zero());
        if !steady || run.stage != Stage::Running {
            return None;
        }
        let usual = self.usual(run, shape)?;
        let still = run.progress.still() >= STILL.max(usual * STILL_PART / 100);
        let whole = run.progress.whole(SPAN);
        (still || whole.is_some()).then_some(Pace {
            run: key,
            whole: whole.filter(|_| !still),
            usual,
            done: run.percent,
        })
    }

    /// Returns the usual time of a task: that of the tasks of its step that are done, or of those that run elsewhere, or
    /// what follows from its caller's estimate.
    fn usual(&self, run: &Run, shape: &Step) -> Option<Duration> {
        let work = self.works.get(run.task.work)?;
        let found = work.occurrence(run.task.occurrence)?;
        let siblings = found.tasks(&work.job, run.task.step).iter();
        let others = siblings.flat_map(|task| &task.runs);
        let others = others.map(|&other| &self.runs[other]);
        let others = others.filter(|other| other.runner != run.runner);
        let mut times: Vec<Duration> = others
            .filter_map(|other| other.progress.whole(SPAN))
            .collect();
        let done = &found.steps[usize::from(run.task.step)].done;
        if let Some(mean) = done.spent.checked_div(done.count) {
            times.extend((0..done.count).map(|_| mean));
        }
        times.sort_unstable();
        let ratio = self.queues[work.queue].ratio as u32;
        let middle = times.get(times.len() / 2).copied();
        Some(middle.unwrap_or(shape.estimate * ratio / 100))
    }

    /// Returns why a runner is slow, if it is.
    fn slowness(&self, paces: &[Pace]) -> Option<Cause> {
        if paces.iter().any(|pace| pace.whole.is_none()) {
            return Some(Cause::Standstill);
        }
        let jobs = paces.iter().map(|pace| self.runs[pace.run].task.work);
        let jobs: BTreeSet<work::Key> = jobs.collect();
        if paces.len() < RUNS || jobs.len() < JOBS {
            return None;
        }
        let mut percents: Vec<u64> = paces.iter().filter_map(Pace::percent).collect();
        percents.sort_unstable();
        let middle = *percents.get(percents.len() / 2)?;
        (middle >= SLOW).then_some(Cause::Slow(middle))
    }

    /// Lets a runner rest, unless it does already.
    fn rest(&mut self, key: runner::Key, cause: Cause, now: Time) {
        let pool = &self.pools[self.runners[key].pool].runners;
        let resting = pool
            .iter()
            .filter(|&&other| now < self.runners[other].quarantine);
        let full = resting.count() >= pool.len().div_ceil(REST_SHARE);
        let runner = &mut self.runners[key];
        if full || now < runner.quarantine {
            return;
        }
        let doublings = runner.quarantines.min(REST_DOUBLINGS);
        runner.quarantines += 1;
        runner.quarantine = now + REST * (1 << doublings);
        let id = runner.id.clone();
        self.note(Note::new(Kind::RunnerQuarantined, cause.as_str(), now).with_place(&id));
    }

    /// Stops a run that would end later than a new one elsewhere, or adds a second run.
    fn restart(&mut self, pace: Pace, cause: Cause, now: Time) {
        let run = &self.runs[pace.run];
        let (task, place) = (run.task, run.runner);
        let speculative = self.shape(task).is_some_and(|shape| shape.speculative);
        let delay = match speculative {
            true => Duration::ZERO,
            false => self.rules.stop_limit,
        };
        if pace.left() < delay + pace.again(cause) + GAIN {
            return;
        }
        if !speculative && !self.has_room(task, place, now) {
            return;
        }
        let work = self.works.get_mut(task.work);
        let state = work.and_then(|work| work.task_mut(task.occurrence, task.step, task.index));
        let Some(state) = state.filter(|state| state.restarts < RESTARTS) else {
            return;
        };
        state.avoid = Some(place);
        if speculative {
            self.place_second(task, now);
        } else {
            state.restarts += 1;
            self.stop(pace.run, cause.as_str(), now);
        }
    }
}
