//! Quarantine of runners on which tasks fail or are slow.
//!
//! A task may fail because of its runner or by its own fault. A runner is suspected once several tasks have failed there, of
//! several jobs or of one that has failed nowhere else. A task that fails again and again says nothing about its runners.

use super::Engine;
use crate::{
    job::{
        self,
        TaskKey, //
    },
    note::{
        Kind,
        Note, //
    },
    runner,
};
use sassafrascrank_base::prelude::*;

/// Number of tasks that failed on a runner after which it is quarantined.
const FAILED_LIMIT: usize = 3;
/// Number of failures after which a task counts as the cause of all of them. Two of them may be due to two bad runners.
const TASK_FAILURE_LIMIT: u16 = 3;
/// Largest number of failed tasks that are kept for a runner.
const FAILED_KEPT: usize = 16;
/// Largest number of times that the quarantine of a runner on which tasks fail doubles.
const FAILURE_DOUBLINGS: u32 = 3;
/// Divisor of a pool's size, which yields the number of its runners that may be in quarantine at once. A pool that is bad
/// as a whole is better than none.
const POOL_DIVISOR: usize = 4;

/// Length of a quarantine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    /// Length of the first one.
    pub(super) first: Duration,
    /// Largest number of times that it doubles while quarantines follow each other.
    pub(super) doublings: u32,
}

impl Engine {
    /// Records that a runner completed a task.
    pub(super) fn record_success(&mut self, key: runner::Key) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.failed.clear();
            runner.quarantines = 0;
        }
    }

    /// Records that a task failed on a runner, and quarantines the runner after too many failed tasks. `failures` is the number
    /// of the task's failures on all runners.
    pub(super) fn record_failure(
        &mut self,
        task: TaskKey,
        failures: u16,
        key: runner::Key,
        now: Time,
    ) {
        if failures >= TASK_FAILURE_LIMIT {
            for runner in self.runners.values_mut() {
                runner.failed.retain(|&failed| failed != task);
            }
            return;
        }
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        if runner.failed.contains(&task) {
            return;
        }
        if runner.failed.len() >= FAILED_KEPT {
            runner.failed.pop_front();
        }
        runner.failed.push_back(task);
        let is_other_job = |failed: &TaskKey| failed.job_key != task.job_key;
        let several_jobs = runner.failed.iter().any(is_other_job);
        let enough = runner.failed.len() >= FAILED_LIMIT;
        if enough && (several_jobs || !self.fails_elsewhere(task.job_key, key)) {
            let span = Span {
                first: self.rules.quarantine,
                doublings: FAILURE_DOUBLINGS,
            };
            self.quarantine(key, "failures", span, now);
        }
    }

    /// Tells whether tasks of a job have failed on another runner than `key`, so that the job may be the cause.
    fn fails_elsewhere(&self, job: job::Key, key: runner::Key) -> bool {
        let mut others = self.runners.iter().filter(|(other, _)| *other != key);
        others.any(|(_, runner)| runner.failed.iter().any(|task| task.job_key == job))
    }

    /// Quarantines a runner, unless it is in quarantine already or too many of its pool are.
    pub(super) fn quarantine(
        &mut self,
        key: runner::Key,
        reason: &'static str,
        span: Span,
        now: Time,
    ) {
        let pool = &self.pools[self.runners[key].pool].runners;
        let quarantined = pool
            .iter()
            .filter(|&&other| now < self.runners[other].quarantined_until);
        let full = quarantined.count() >= pool.len().div_ceil(POOL_DIVISOR);
        let runner = &mut self.runners[key];
        if full || now < runner.quarantined_until {
            return;
        }
        let doublings = runner.quarantines.min(span.doublings);
        runner.quarantines += 1;
        runner.quarantined_until = now + span.first * (1 << doublings);
        let id = runner.id.clone();
        self.note(Note::new(Kind::RunnerQuarantined, reason, now).with_place(&id));
    }
}
