//! Detection of runners on which tasks are much slower than usual or make no progress.
//!
//! Runners report the progress of their runs, from which the duration of each run is projected. A runner whose runs
//! take a multiple of the usual duration is quarantined. Its runs are restarted elsewhere if they would end sooner
//! there; a speculative task gets a second run beside the first one.

use super::{
    Engine,
    quarantine::Span, //
};
use crate::{
    job::{
        self, Run,
        run::{
            self,
            Stage, //
        },
    },
    runner,
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Step;
use std::collections::BTreeSet;

/// Time between two searches for slow runners.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of runners that are searched at once. With many runners, each is looked at less often, so that the time of a
/// search stays the same.
const CHECKED_AT_ONCE: usize = 200;
/// Shortest time between two reports of a run from which its duration is projected.
const MIN_SPAN: Duration = Duration::from_millis(150);
/// Shortest time without progress after which a run counts as standing still.
const STANDSTILL_MIN: Duration = Duration::from_millis(600);
/// The same in percent of the task's usual duration. Progress is reported in whole percent, so that long tasks seldom
/// show any.
const STANDSTILL_PERCENT: u32 = 4;
/// Largest number of restarts of a task because of slow runs. Without it, runners that report wrong progress could keep
/// a task from ever ending.
pub(super) const RESTART_LIMIT: u8 = 2;
/// Duration of runs in percent of the usual one from which a runner counts as slow. Single tasks of a step take up to
/// four times as long as others, so the median over several runs is compared.
const SLOW_PERCENT: u64 = 350;
/// Smallest number of runs from which the speed of a runner is derived.
const MIN_RUNS: usize = 4;
/// Smallest number of jobs that these runs belong to.
const MIN_JOBS: usize = 2;
/// Time for which a slow runner gets no tasks, doubled for each quarantine in a row.
const QUARANTINE: Duration = Duration::from_millis(1_500);
/// Largest number of times that this time doubles.
const QUARANTINE_DOUBLINGS: u32 = 2;
/// Shortest time that a restart has to save.
const MIN_GAIN: Duration = Duration::from_millis(200);
/// Divisor of the weight of a new sample in the mean ratio of actual durations to the callers' estimates.
const SAMPLE_WEIGHT_DIVISOR: u64 = 16;
/// Smallest sample of that ratio in percent. The bounds keep a few unusual jobs from distorting the mean.
const RATIO_MIN_PERCENT: u64 = 30;
/// Largest sample of that ratio in percent.
const RATIO_MAX_PERCENT: u64 = 300;

/// Why a runner is slow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// The runs take this many percent of their usual duration.
    Slow(u64),
    /// A run makes no progress.
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

/// Speed of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Speed {
    pub(super) run: run::Key,
    /// Projected duration of the whole task; `None` for a run that makes no progress.
    projected: Option<Duration>,
    /// Usual duration of such a task.
    usual_duration: Duration,
    /// Progress in percent.
    percent_done: u8,
}

impl Speed {
    /// Returns the projected duration in percent of the usual one.
    pub(super) fn percent_of_usual(&self) -> Option<u64> {
        let usual_duration = self.usual_duration.as_millis().max(1) as u64;
        self.projected
            .map(|projected| projected.as_millis() as u64 * 100 / usual_duration)
    }

    /// Returns the projected time until the run ends.
    fn remaining(&self) -> Duration {
        let missing = u32::from(100 - self.percent_done.min(100));
        self.projected
            .map_or(Duration::MAX, |projected| projected * missing / 100)
    }

    /// Returns the projected duration of a new run elsewhere.
    fn rerun_duration(&self, cause: Cause) -> Duration {
        match (cause, self.projected) {
            (Cause::Slow(percent), Some(projected)) => projected * 100 / percent.max(1) as u32,
            _ => self.usual_duration,
        }
    }
}

impl Engine {
    /// Records the duration of a run that completed its task.
    pub(super) fn record_duration(&mut self, run: &Run, now: Time) {
        let Some(spec) = self.step_spec(run.task) else {
            return;
        };
        let estimate = spec.estimate.as_millis() as u64;
        let (Some(started), Some(active)) = (run.started, self.jobs.get(run.task.job_key)) else {
            return;
        };
        if estimate == 0 || spec.gang || spec.long_running {
            return;
        }
        let spent = now.since(started);
        let sample =
            (spent.as_millis() as u64 * 100 / estimate).clamp(RATIO_MIN_PERCENT, RATIO_MAX_PERCENT);
        let queue = &mut self.queues[active.queue];
        queue.ratio_percent =
            (queue.ratio_percent * (SAMPLE_WEIGHT_DIVISOR - 1) + sample) / SAMPLE_WEIGHT_DIVISOR;
        if let Some(active) = self.jobs.get_mut(run.task.job_key)
            && let Some(occurrence) = active.occurrence_mut(run.task.occurrence)
        {
            let durations = &mut occurrence.steps[usize::from(run.task.step)].durations;
            durations.count += 1;
            durations.total += spent;
        }
    }

    /// Quarantines slow runners and restarts their runs elsewhere.
    pub(super) fn handle_stragglers(&mut self, now: Time) {
        if now < self.stragglers_checked + CHECK_INTERVAL {
            return;
        }
        self.stragglers_checked = now;
        let rounds = self.runners.len().div_ceil(CHECKED_AT_ONCE).max(1);
        self.straggler_round = (self.straggler_round + 1) % rounds;
        let round = self.straggler_round;
        let keys = self.runners.keys().enumerate();
        let keys = keys.filter(|(index, _)| index % rounds == round);
        let keys: Vec<runner::Key> = keys.map(|(_, key)| key).collect();
        for key in keys {
            let speeds = self.speeds(key);
            self.observe_speeds(key, &speeds, now);
            if let Some(cause) = self.slow_cause(&speeds) {
                let span = Span {
                    first: QUARANTINE,
                    doublings: QUARANTINE_DOUBLINGS,
                };
                self.quarantine(key, cause.as_str(), span, now);
                for speed in speeds {
                    self.restart(speed, cause, now);
                }
            }
        }
    }

    /// Returns the speeds of the runs of a runner, as far as they are known.
    fn speeds(&self, key: runner::Key) -> Vec<Speed> {
        let runner = &self.runners[key];
        if runner.misses > 0 || !runner.fenced {
            return Vec::new();
        }
        runner
            .runs
            .iter()
            .filter_map(|&run| self.measure_speed(run))
            .collect()
    }

    fn measure_speed(&self, key: run::Key) -> Option<Speed> {
        let run = &self.runs[key];
        let spec = self.step_spec(run.task)?;
        // Members of a gang wait for each other, background tasks are slowed down on purpose, and long-running tasks
        // have no end.
        let steady =
            !(spec.gang || spec.uses_spare_cpu || spec.long_running || spec.estimate.is_zero());
        if !steady || run.stage != Stage::Running {
            return None;
        }
        let usual_duration = self.usual_duration(run, spec)?;
        let stalled = run.progress.unchanged_for()
            >= STANDSTILL_MIN.max(usual_duration * STANDSTILL_PERCENT / 100);
        let projected = run.progress.projected_duration(MIN_SPAN);
        (stalled || projected.is_some()).then_some(Speed {
            run: key,
            projected: projected.filter(|_| !stalled),
            usual_duration,
            percent_done: run.percent,
        })
    }

    /// Returns the usual duration of a task: the median over the tasks of its step that are done or run on other
    /// runners, or else the caller's estimate times the usual ratio of its queue.
    fn usual_duration(&self, run: &Run, spec: &Step) -> Option<Duration> {
        let active = self.jobs.get(run.task.job_key)?;
        let occurrence = active.occurrence(run.task.occurrence)?;
        let siblings = occurrence.tasks(&active.job, run.task.step).iter();
        let others = siblings.flat_map(|task| &task.runs);
        let others = others.map(|&other| &self.runs[other]);
        let others = others.filter(|other| other.runner != run.runner);
        let mut times: Vec<Duration> = others
            .filter_map(|other| other.progress.projected_duration(MIN_SPAN))
            .collect();
        let durations = &occurrence.steps[usize::from(run.task.step)].durations;
        if let Some(mean) = durations.total.checked_div(durations.count) {
            times.extend((0..durations.count).map(|_| mean));
        }
        times.sort_unstable();
        let ratio_percent = self.queues[active.queue].ratio_percent as u32;
        let median = times.get(times.len() / 2).copied();
        Some(median.unwrap_or(spec.estimate * ratio_percent / 100))
    }

    /// Returns why a runner is slow, or `None` if it is not.
    fn slow_cause(&self, speeds: &[Speed]) -> Option<Cause> {
        if speeds.iter().any(|speed| speed.projected.is_none()) {
            return Some(Cause::Standstill);
        }
        let jobs = speeds.iter().map(|speed| self.runs[speed.run].task.job_key);
        let jobs: BTreeSet<job::Key> = jobs.collect();
        if speeds.len() < MIN_RUNS || jobs.len() < MIN_JOBS {
            return None;
        }
        let mut percents: Vec<u64> = speeds.iter().filter_map(Speed::percent_of_usual).collect();
        percents.sort_unstable();
        let median = *percents.get(percents.len() / 2)?;
        (median >= SLOW_PERCENT).then_some(Cause::Slow(median))
    }

    /// Stops a run that would end later than a new one elsewhere, or adds a second run of a speculative task.
    fn restart(&mut self, speed: Speed, cause: Cause, now: Time) {
        let run = &self.runs[speed.run];
        let (task, runner_key) = (run.task, run.runner);
        let speculative = self.step_spec(task).is_some_and(|spec| spec.speculative);
        let delay = match speculative {
            true => Duration::ZERO,
            false => self.rules.stop_limit,
        };
        if speed.remaining() < delay + speed.rerun_duration(cause) + MIN_GAIN {
            return;
        }
        let may_move = self.may_return(run) && self.fits_elsewhere(task, runner_key, now);
        if !speculative && !may_move {
            return;
        }
        let active = self.jobs.get_mut(task.job_key);
        let state =
            active.and_then(|active| active.task_mut(task.occurrence, task.step, task.index));
        let Some(state) = state.filter(|state| state.restarts < RESTART_LIMIT) else {
            return;
        };
        state.avoid = Some(runner_key);
        if speculative {
            self.place_speculative(task, now);
        } else {
            state.restarts += 1;
            self.stop(speed.run, cause.as_str(), now);
        }
    }
}
