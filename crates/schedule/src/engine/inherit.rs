//! Jobs of the former leader.

use super::Engine;
use crate::{
    runner::{
        self,
        Runner, //
    },
    work::{
        self, Occurrence, Run, State, TaskKey,
        run::{
            self,
            Stage, //
        },
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Progress,
    book::Entry,
    progress::{
        self,
        Assignment, //
    },
};
use std::sync::Arc;

impl Engine {
    /// Takes a job from the log with all that may still run of it. The runners that are listed have to be known.
    pub fn restore_job(&mut self, entry: &Entry, wall: Time, now: Time) {
        let Some(job) = &entry.job else {
            return;
        };
        let outcome = entry.outcome();
        let progress = entry.progress.as_ref();
        let active = progress.is_some_and(|progress| progress.is_active());
        if outcome.is_some() && !active {
            return;
        }
        let key = self.insert(Arc::clone(job));
        if let Some(progress) = progress {
            self.restore(key, progress, now);
        }
        match outcome {
            Some(outcome) => self.finish(key, outcome, "inherited", now),
            None => self.open_due(key, wall, now),
        }
    }

    fn restore(&mut self, key: work::Key, progress: &Progress, now: Time) {
        let work = &mut self.works[key];
        work.begun = progress.begun;
        work.finished = progress.finished;
        let job = Arc::clone(&work.job);
        let newest = progress.tasks.iter().map(|task| task.position.occurrence);
        work.next = newest.max().map_or(progress.finished, |newest| newest + 1);
        work.next = work.next.max(progress.finished).min(job.occurrences());
        let from = job.submitted.min(now);
        for number in progress.finished..work.next {
            work.occurrences.push(Occurrence::new(&job, number, from));
        }
        for task in &progress.tasks {
            self.restore_task(key, task, now);
        }
        let numbers: Vec<u32> = self.works[key]
            .occurrences
            .iter()
            .map(|found| found.number)
            .collect();
        for number in numbers {
            self.open_steps(key, number);
        }
    }

    fn restore_task(&mut self, key: work::Key, kept: &progress::Task, now: Time) {
        let position = kept.position;
        let work = &mut self.works[key];
        let Some(state) = work.task_mut(position.occurrence, position.step, position.index) else {
            return;
        };
        state.failures = kept.failures;
        state.attempt = kept.attempt;
        state.checkpoint = kept.checkpoint.clone();
        if kept.done {
            state.state = State::Done;
            if let Some(found) = work.occurrence_mut(position.occurrence) {
                let step = &mut found.steps[usize::from(position.step)];
                step.left = step.left.saturating_sub(1);
            }
        }
        let task = TaskKey {
            work: key,
            occurrence: position.occurrence,
            step: position.step,
            index: position.index,
        };
        for assignment in &kept.assignments {
            self.restore_run(task, assignment, now);
        }
    }

    /// Notes a run that may exist, unless the life of its runner is known to be over.
    fn restore_run(&mut self, task: TaskKey, assignment: &Assignment, now: Time) {
        let Some(runner) = self.find_life(task, assignment, now) else {
            return;
        };
        let work = &mut self.works[task.work];
        let need = work.job.steps[usize::from(task.step)].counted();
        let name = super::run::name(work.job.id, task);
        let run = self.runs.insert(Run {
            task,
            name,
            attempt: assignment.attempt,
            runner,
            need,
            stage: Stage::Inherited,
            planned: now,
            adopted: None,
            started: None,
            settled: None,
            stop_at: None,
            ticket: None,
            percent: 0,
            progress: run::Progress::default(),
            load: 0,
            pace: 100,
            paced: Time::MIN,
        });
        if let Some(state) = work.task_mut(task.occurrence, task.step, task.index) {
            state.runs.push(run);
            if state.state != State::Done {
                state.state = State::Active;
            }
        }
        self.occupy(run, runner, need, now);
    }

    fn find_life(
        &mut self,
        task: TaskKey,
        assignment: &Assignment,
        now: Time,
    ) -> Option<runner::Key> {
        if let Some(&key) = self.runner_index.get(&assignment.runner) {
            return (self.runners[key].born == assignment.born).then_some(key);
        }
        let later =
            |runner: &Runner| runner.host == assignment.host && runner.born > assignment.born;
        if !assignment.host.is_empty() && self.runners.values().any(later) {
            return None;
        }
        let pool = self.queues[self.works[task.work].queue].pool;
        let ghost = Runner {
            host: Arc::clone(&assignment.host),
            ..Runner::ghost(
                Arc::clone(&assignment.runner),
                assignment.born,
                pool,
                self.inherited_until,
                now,
            )
        };
        let key = self.runners.insert(ghost);
        self.runner_index
            .insert(Arc::clone(&assignment.runner), key);
        Some(key)
    }
}
