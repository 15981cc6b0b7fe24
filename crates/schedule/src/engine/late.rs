//! Starts that may still be carried out after their runs were given up.
//!
//! Such a start got no answer. The incarnation of the runner that it was sent to rejects it once its run was stopped there or
//! its lease has ended. A later incarnation, whose clock begins anew, carries it out if it arrives before that has answered an
//! order of this leader. So the task does not start again while the runner is silent.

use super::Engine;
use crate::{
    job::{
        Run, State, TaskKey,
        run::{
            self,
            Stage, //
        },
    },
    note::{
        Kind,
        Note, //
    },
    order::report::Running,
    runner::{
        self,
        Listed,
        Runner, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::progress;
use std::{
    collections::HashSet,
    sync::Arc, //
};

/// Largest number of starts that are remembered. Each is of a run that was given up in the last seconds.
const LIMIT: usize = 4_096;

/// A start that a later incarnation of its runner may carry out, although its run was given up.
#[derive(Clone, Debug)]
pub(super) struct Start {
    task: TaskKey,
    attempt: u32,
    runner: Arc<str>,
    /// The incarnation that it was sent to.
    incarnation: u64,
    host: Arc<str>,
    /// Latest time at which it may be carried out.
    until: Time,
    /// Whether its task waits for it, or has waited.
    awaited: bool,
}

/// What the runner of a start shows about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outlook {
    /// It will not be carried out any more, or that does no harm.
    Void,
    /// The incarnation that it was sent to answers, and rejects it.
    Rejected,
    /// The runner does not answer, so a later incarnation may carry it out at any moment.
    Open,
}

impl Engine {
    /// Remembers the start of a run that was given up, if it may still be carried out.
    pub(super) fn keep_start(&mut self, run: &Run) {
        let (Some(until), Some(runner)) = (run.starts.until(), self.runners.get(run.runner)) else {
            return;
        };
        let start = Start {
            task: run.task,
            attempt: run.attempt,
            runner: Arc::clone(&runner.id),
            incarnation: run.incarnation,
            host: Arc::clone(&runner.host),
            until,
            awaited: false,
        };
        match self.late_starts.len() < LIMIT {
            true => self.late_starts.push(start),
            false => self.unkept_starts += 1,
        }
    }

    /// Records that an incarnation of a runner rejects all starts for earlier ones, since it has answered an order of this leader, or
    /// that there will be none before it.
    pub(super) fn void_starts_at(&mut self, runner: &Arc<str>, incarnation: u64) {
        self.void_starts(|start| start.runner == *runner && start.incarnation < incarnation);
    }

    /// Records that the host of a runner has it now, so that earlier runners of other names will not start again.
    pub(super) fn void_starts_before(&mut self, listed: &Listed) {
        let is_earlier = |start: &Start| {
            start.host == listed.host
                && start.runner != listed.id
                && start.incarnation < listed.incarnation
        };
        self.void_starts(is_earlier);
    }

    fn void_starts(&mut self, is_void: impl Fn(&Start) -> bool) {
        for start in self.late_starts.iter_mut().filter(|start| is_void(start)) {
            start.until = Time::MIN;
        }
    }

    /// Lets tasks wait while a start of them may be carried out, and makes them ready afterwards.
    pub(super) fn update_late_starts(&mut self, now: Time) {
        if core::mem::take(&mut self.unkept_starts) > 0 {
            self.note(Note::new(Kind::StartAwaited, "full", now));
        }
        if self.late_starts.is_empty() {
            return;
        }
        let mut starts = core::mem::take(&mut self.late_starts);
        let is_void = |start: &mut Start| self.outlook(start, now) == Outlook::Void;
        let void: Vec<Start> = starts.extract_if(.., is_void).collect();
        let mut held = HashSet::new();
        for start in &mut starts {
            if self.outlook(start, now) == Outlook::Open && self.hold(start.task) {
                held.insert(start.task);
                self.await_start(start, now);
            }
        }
        for start in void.iter().filter(|start| start.awaited) {
            // The log has the start as a run that may be alive.
            self.mark_dirty(start.task.job_key);
        }
        let tasks = void.iter().chain(&starts).map(|start| start.task);
        let free: Vec<TaskKey> = tasks.filter(|task| !held.contains(task)).collect();
        self.late_starts = starts;
        for task in free {
            self.make_ready(task);
        }
    }

    fn outlook(&self, start: &Start, now: Time) -> Outlook {
        let task = start.task;
        let active = self.jobs.get(task.job_key);
        let state = active.and_then(|job| job.task(task.occurrence, task.step, task.index));
        let matters = state.is_some_and(|state| state.state != State::Done);
        if !matters || now > start.until {
            return Outlook::Void;
        }
        let answers = |runner: &&Runner| runner.fenced && runner.misses == 0;
        let runner = self.runner_index.get(&start.runner);
        let runner = runner.and_then(|&key| self.runners.get(key));
        match runner.filter(answers) {
            Some(_) => Outlook::Rejected,
            None => Outlook::Open,
        }
    }

    /// Lets a task wait that has no run. Returns false if it has one.
    fn hold(&mut self, task: TaskKey) -> bool {
        let Some(state) = self.task_mut(task) else {
            return false;
        };
        if !state.runs.is_empty() || !matches!(state.state, State::Ready | State::Active) {
            return false;
        }
        if state.state == State::Ready {
            state.state = State::Active;
            self.unrank(task);
        }
        true
    }

    /// Records that a task waits for a start. The log has to know that.
    fn await_start(&mut self, start: &mut Start, now: Time) {
        let Some(active) = self.jobs.get(start.task.job_key) else {
            return;
        };
        if !core::mem::replace(&mut start.awaited, true) {
            let task = super::run::task_id(active.job.id, start.task);
            let note = Note::new(Kind::StartAwaited, "silent", now);
            let note = note
                .with_task(task, start.attempt)
                .with_place(&start.runner);
            self.note(note.with_age(start.until.since(now)));
            self.mark_dirty(start.task.job_key);
        }
    }

    /// Returns the starts that a task waits for, without their attempts: at a runner, the latest one lasts longest.
    pub(super) fn awaited_starts(&self, task: TaskKey) -> Vec<progress::Start> {
        let mut awaited: Vec<progress::Start> = Vec::new();
        let starts = self.late_starts.iter();
        for start in starts.filter(|start| start.awaited && start.task == task) {
            let stored = progress::Start {
                runner: Arc::clone(&start.runner),
                incarnation: start.incarnation,
                host: Arc::clone(&start.host),
            };
            if !awaited.contains(&stored) {
                awaited.push(stored);
            }
        }
        awaited
    }

    /// Restores the starts that a task of a former leader waits for, unless the host of the runner has another one by now.
    pub(super) fn restore_starts(&mut self, task: TaskKey, starts: &[progress::Start]) {
        let step = self.step_spec(task);
        let limit = step.map_or(Duration::ZERO, |step| self.late_limit(step));
        let until = self.former_observed + limit;
        let attempt = self.task_mut(task).map_or(0, |state| state.attempt);
        for start in starts {
            if self.has_later_runner(&start.host, &start.runner, start.incarnation) {
                continue;
            }
            self.late_starts.push(Start {
                task,
                attempt,
                runner: Arc::clone(&start.runner),
                incarnation: start.incarnation,
                host: Arc::clone(&start.host),
                until,
                awaited: true,
            });
        }
    }

    /// Takes over a run that a runner lists although it was given up, so that its task does not start elsewhere beside it.
    /// It goes on if the task has no other run, unless it is a member of a gang. Returns `None` if nothing can start beside it.
    pub(super) fn take_over_run(
        &mut self,
        key: runner::Key,
        row: &Running,
        now: Time,
    ) -> Option<run::Key> {
        let job_key = *self.job_index.get(&row.task.job)?;
        let task = TaskKey::new(job_key, row.task.position);
        let active = &self.jobs[job_key];
        let spec = self.step_spec(task)?;
        let (gang, speculative) = (spec.gang, spec.speculative);
        let state = active.task(task.occurrence, task.step, task.index)?;
        let was_given_up = row.attempt <= state.attempt && state.state != State::Done;
        if active.outcome.is_some() || speculative || !was_given_up {
            return None;
        }
        self.note_foreign(key, row, "given-up", now);
        self.drop_planned(task, gang, now);
        self.unrank(task);
        let run = Run {
            stage: Stage::Inherited,
            // Whether it has crashed a runner can't be told from the time of its start.
            settled: true,
            ..self.new_run(task, row.attempt, key, now)
        };
        let run = self.runs.insert(run);
        let state = self.task_mut(task)?;
        let is_only = state.runs.is_empty();
        state.state = State::Active;
        state.runs.push(run);
        self.occupy(run, key, now);
        self.charge(run);
        self.mark_dirty(job_key);
        if gang || !is_only {
            self.stop(run, "given-up", now);
        }
        Some(run)
    }

    /// Drops the runs of a task, or of a gang, that were planned and not ordered yet, unless others were ordered.
    fn drop_planned(&mut self, task: TaskKey, gang: bool, now: Time) {
        let members = match gang {
            true => 0..self.step_spec(task).map_or(0, |step| step.count),
            false => task.index..task.index + 1,
        };
        let runs = members.flat_map(|index| self.runs_of(task.step().task(index)));
        let runs: Vec<run::Key> = runs.collect();
        let is_planned = |run: &run::Key| self.runs[*run].stage == Stage::Planned;
        if runs.iter().all(is_planned) {
            for run in runs {
                self.stop(run, "given-up", now);
            }
        }
    }
}
