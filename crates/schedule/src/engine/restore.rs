//! Restoring of jobs of former leaders from the log.

use super::{
    Engine,
    loss::{
        self,
        Loss, //
    },
};
use crate::{
    job::{
        self, Run, Starts, State, TaskKey,
        run::{
            self,
            Stage, //
        },
    },
    runner::{
        self,
        Runner, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Progress,
    progress::{
        self,
        Assignment, //
    },
    replica::Entry,
};
use std::sync::Arc;

impl Engine {
    /// Restores a job from the log, with the runs that may still be alive. The runners in the service list must have
    /// been added before.
    pub fn restore_job(&mut self, entry: &Entry, wall: Time, now: Time) {
        let Some(job) = &entry.job else {
            self.restore_submission(entry, None, now);
            return;
        };
        let outcome = entry.outcome();
        let progress = entry.progress.as_ref();
        let has_runs = progress.is_some_and(|progress| progress.is_active());
        if outcome.is_some() && !has_runs {
            self.restore_submission(entry, None, now);
            return;
        }
        let key = self.insert_job(Arc::clone(job));
        self.restore_submission(entry, Some(key), now);
        if let Some(progress) = progress {
            self.restore_progress(key, progress, entry.crashed, wall, now);
        }
        match outcome {
            Some(outcome) => self.finish_job(key, outcome, "inherited", now),
            None => {
                self.open_due_occurrences(key, wall, now);
                for task in progress.iter().flat_map(|progress| &progress.tasks) {
                    self.restore_finding(TaskKey::new(key, task.position), now);
                }
            }
        }
    }

    fn restore_progress(
        &mut self,
        key: job::Key,
        progress: &Progress,
        crashed: Time,
        wall: Time,
        now: Time,
    ) {
        let active = &mut self.jobs[key];
        active.begun = progress.begun;
        active.finished = progress.finished;
        let newest = progress.tasks.iter().map(|task| task.position.occurrence);
        let next = newest.max().map_or(progress.finished, |newest| newest + 1);
        let next = next.max(progress.finished).min(active.job.occurrences());
        active.next = next;
        for number in progress.finished..next {
            self.open_occurrence(key, number, wall, now);
        }
        for task in &progress.tasks {
            self.restore_task(key, task, crashed, now);
        }
        let numbers: Vec<u32> = self.jobs[key]
            .occurrences
            .iter()
            .map(|occurrence| occurrence.number)
            .collect();
        for number in numbers {
            self.open_steps(key, number);
        }
    }

    fn restore_task(&mut self, key: job::Key, kept: &progress::Task, crashed: Time, now: Time) {
        let position = kept.position;
        let active = &mut self.jobs[key];
        let Some(state) = active.task_mut(position.occurrence, position.step, position.index)
        else {
            return;
        };
        state.failures = kept.failures;
        state.crashes = kept.crashes;
        loss::pause(state, crashed);
        state.attempt = kept.attempt;
        state.checkpoint = kept.checkpoint.clone();
        if kept.done {
            state.state = State::Done;
            if let Some(occurrence) = active.occurrence_mut(position.occurrence) {
                let step = &mut occurrence.steps[usize::from(position.step)];
                step.tasks_left = step.tasks_left.saturating_sub(1);
            }
        }
        let task = TaskKey::new(key, position);
        self.restore_suspicions(task, &kept.suspicions);
        for assignment in &kept.assignments {
            self.restore_run(task, assignment, now);
        }
        self.stop_earlier_attempts(task, now);
        self.restore_starts(task, &kept.late_starts);
    }

    /// Stops the runs of a task that a former leader was stopping, beside one of the latest attempt.
    fn stop_earlier_attempts(&mut self, task: TaskKey, now: Time) {
        let runs = self.runs_of(task);
        let speculative = self.step_spec(task).is_some_and(|step| step.speculative);
        let latest = runs.iter().map(|&run| self.runs[run].attempt).max();
        let is_earlier = |run: &run::Key| Some(self.runs[*run].attempt) < latest;
        let earlier: Vec<run::Key> = runs.iter().copied().filter(is_earlier).collect();
        for run in earlier.into_iter().filter(|_| !speculative) {
            self.stop(run, "given-up", now);
        }
    }

    /// Restores a run that may be alive, unless the incarnation of its runner is known to be over.
    fn restore_run(&mut self, task: TaskKey, assignment: &Assignment, now: Time) {
        let Some(runner) = self.find_runner(task, assignment, now) else {
            if !assignment.settled
                && !self.was_ordered_away(&assignment.host, assignment.incarnation, now)
            {
                self.suspect_ended_runner(task, &assignment.runner);
            }
            return;
        };
        let run = self.new_run(task, assignment.attempt, runner, now);
        let limit = self.start_limit(&run).filter(|_| !assignment.settled);
        let starts = limit.map_or(Starts::NONE, |limit| {
            // Starts of long-running tasks are repeated.
            Starts::inherited(self.former_observed + limit, run.traits.long_running)
        });
        let run = self.runs.insert(Run {
            starts,
            moved: assignment.incarnation < self.runners[runner].incarnation,
            incarnation: assignment.incarnation,
            settled: assignment.settled,
            stage: Stage::Inherited,
            ..run
        });
        let active = &mut self.jobs[task.job_key];
        if let Some(state) = active.task_mut(task.occurrence, task.step, task.index) {
            state.runs.push(run);
            if state.state != State::Done {
                state.state = State::Active;
            }
        }
        self.occupy(run, runner, now);
        self.charge(run);
        self.runners[runner].leased = true;
    }

    /// Tells whether a host has a later runner than an incarnation of one, under another name.
    pub(super) fn has_later_runner(&self, host: &str, id: &str, incarnation: u64) -> bool {
        let is_later = |runner: &Runner| {
            self.pools[runner.pool].named
                && *runner.host == *host
                && *runner.id != *id
                && runner.incarnation > incarnation
        };
        !host.is_empty() && self.runners.values().any(is_later)
    }

    /// Returns the runner of an assignment, which is added if neither that incarnation nor a later one is in the service
    /// list, since the list may be older than the log. A later incarnation may have carried out the start. `None` if the
    /// host has a later runner of another name.
    fn find_runner(
        &mut self,
        task: TaskKey,
        assignment: &Assignment,
        now: Time,
    ) -> Option<runner::Key> {
        let known = self.runner_index.get(&assignment.runner).copied();
        if let Some(key) = known
            && assignment.incarnation <= self.runners[key].incarnation
        {
            if assignment.incarnation < self.runners[key].incarnation {
                let until = self.rules.longest_lease_expiry(now);
                self.runners[key].accepts_earlier_orders = true;
                self.extend_earlier_lease(key, until, now);
            }
            return Some(key);
        }
        if self.has_later_runner(&assignment.host, &assignment.runner, assignment.incarnation) {
            if let Some(key) = known {
                self.end_incarnation(key, Loss::HostReused, now);
            }
            return None;
        }
        let pool = self.queues[self.jobs[task.job_key].queue].pool;
        let runner = Runner {
            host: Arc::clone(&assignment.host),
            ..Runner::from_log(
                Arc::clone(&assignment.runner),
                assignment.incarnation,
                pool,
                self.former_runs_until,
                now,
            )
        };
        Some(self.add_incarnation(runner, now))
    }
}
