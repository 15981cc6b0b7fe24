//! A job under way.

use super::{
    State,
    Task, //
};
use crate::{
    queue::{
        Tier,
        key, //
    },
    runner,
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Job,
    progress::Outcome, //
};
use std::sync::Arc;

/// What the advice service said about a step.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    /// When it was last asked.
    pub asked: Option<Time>,
    /// Runners that may run the step, with their tickets and the end of these.
    pub approved: Vec<(runner::Key, Arc<str>, Time)>,
    /// Runners that may not run it.
    pub refused: Vec<runner::Key>,
}

/// Tasks that are done, with their time.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationSum {
    /// Number of tasks whose time is known.
    pub count: u32,
    /// Sum of their times.
    pub total: Duration,
}

/// A step of an occurrence.
#[derive(Clone, Debug, Default)]
pub struct StepState {
    /// Position of its first task among those of the occurrence.
    pub first: usize,
    /// Tasks that are not done.
    pub tasks_left: u16,
    /// Its tasks may start.
    pub opened: bool,
    /// What the advice service said.
    pub advice: Advice,
    /// Tasks that are done, with their time.
    pub durations: DurationSum,
}

/// One occurrence of a job.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// Its number.
    pub number: u32,
    /// When its objective began.
    pub due: Time,
    /// Whether its objective can still be met.
    pub tier: Tier,
    /// Its steps.
    pub steps: Vec<StepState>,
    /// Tasks of all steps.
    pub tasks: Vec<Task>,
}

impl Occurrence {
    /// Makes an occurrence whose tasks are blocked.
    pub fn new(job: &Job, number: u32, due: Time) -> Self {
        let mut first = 0;
        let mut steps = Vec::with_capacity(job.steps.len());
        for step in job.steps.iter() {
            steps.push(StepState {
                first,
                tasks_left: step.count,
                ..StepState::default()
            });
            first += usize::from(step.count);
        }
        Self {
            number,
            due,
            tier: Tier::Timely,
            steps,
            tasks: vec![Task::default(); first],
        }
    }

    /// Returns the position of a task, if the step has it.
    pub fn slot(&self, job: &Job, step: u16, index: u16) -> Option<usize> {
        let count = job.steps.get(usize::from(step))?.count;
        (index < count).then(|| self.steps[usize::from(step)].first + usize::from(index))
    }

    /// Tells whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.tasks_left == 0)
    }

    /// Returns the tasks of a step.
    pub fn tasks(&self, job: &Job, step: u16) -> &[Task] {
        let first = self.steps[usize::from(step)].first;
        let count = usize::from(job.steps[usize::from(step)].count);
        &self.tasks[first..first + count]
    }
}

/// A job under way.
#[derive(Clone, Debug)]
pub struct ActiveJob {
    /// The job.
    pub job: Arc<Job>,
    /// Its queue.
    pub queue: key::Queue,
    /// Occurrences that are due and not done.
    pub occurrences: Vec<Occurrence>,
    /// Number of the first occurrence that is not yet due.
    pub next: u32,
    /// Occurrences below this one are done.
    pub finished: u32,
    /// A task has been ordered.
    pub begun: bool,
    /// How the job ended.
    pub outcome: Option<Outcome>,
    /// The log lacks its latest state.
    pub dirty: bool,
}

impl ActiveJob {
    /// Returns an occurrence that is under way.
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences
            .iter()
            .find(|occurrence| occurrence.number == number)
    }

    /// Returns an occurrence that is under way.
    pub fn occurrence_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        self.occurrences
            .iter_mut()
            .find(|occurrence| occurrence.number == number)
    }

    /// Returns a task.
    pub fn task(&self, number: u32, step: u16, index: u16) -> Option<&Task> {
        let occurrence = self.occurrence(number)?;
        Some(&occurrence.tasks[occurrence.slot(&self.job, step, index)?])
    }

    /// Returns a task.
    pub fn task_mut(&mut self, number: u32, step: u16, index: u16) -> Option<&mut Task> {
        let job = Arc::clone(&self.job);
        let occurrence = self.occurrence_mut(number)?;
        let slot = occurrence.slot(&job, step, index)?;
        Some(&mut occurrence.tasks[slot])
    }

    /// Tells whether any task has a run.
    pub fn has_runs(&self) -> bool {
        let mut tasks = self
            .occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.tasks);
        tasks.any(|task| !task.runs.is_empty())
    }

    /// Tells whether all steps that `step` waits for are done.
    pub fn is_unblocked(&self, occurrence: &Occurrence, step: usize) -> bool {
        let after = self.job.steps[step].after.iter();
        after
            .copied()
            .all(|step| occurrence.steps[usize::from(step)].tasks_left == 0)
    }

    /// Tells whether a task waits for a runner.
    pub fn is_ready(&self, number: u32, step: u16, index: u16) -> bool {
        self.task(number, step, index)
            .is_some_and(|task| task.state == State::Ready)
    }
}
