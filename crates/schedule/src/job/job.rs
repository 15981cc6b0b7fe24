//! State of an active job.

use super::{
    State,
    Task, //
};
use crate::{
    account::{
        self,
        Standing, //
    },
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
use std::{
    collections::VecDeque,
    sync::Arc, //
};

/// Answers of the advice service about a step.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    /// When the service was last asked, unless it has answered since.
    pub asked: Option<Time>,
    /// Approved runners, each with its ticket and the time at which the ticket expires.
    pub approved: Vec<(runner::Key, Arc<str>, Time)>,
    /// Runners that were refused, or that the service was asked about without an answer yet.
    pub refused: Vec<runner::Key>,
}

/// Durations of tasks that are done.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationSum {
    /// Number of tasks whose duration is known.
    pub count: u32,
    /// Sum of their durations.
    pub total: Duration,
}

/// State of a step in one occurrence.
#[derive(Clone, Debug, Default)]
pub struct StepState {
    /// Position of the step's first task in [`Occurrence::tasks`].
    pub first: usize,
    /// Number of tasks that are not done.
    pub tasks_left: u16,
    /// Whether the tasks of the step may start.
    pub opened: bool,
    /// Answers of the advice service.
    pub advice: Advice,
    /// Durations of tasks that are done.
    pub durations: DurationSum,
}

/// State of one occurrence of a job.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// Number of the occurrence.
    pub number: u32,
    /// Time from which the objective counts.
    pub due: Time,
    /// Whether the objective can still be met.
    pub tier: Tier,
    /// Steps of the job.
    pub steps: Vec<StepState>,
    /// Tasks of all steps.
    pub tasks: Vec<Task>,
}

impl Occurrence {
    /// Creates an occurrence whose tasks are blocked.
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

    /// Returns the position of a task in [`tasks`](Self::tasks), or `None` if the step lacks it.
    pub fn slot(&self, job: &Job, step: u16, index: u16) -> Option<usize> {
        let count = job.steps.get(usize::from(step))?.count;
        (index < count).then(|| self.steps[usize::from(step)].first + usize::from(index))
    }

    /// Returns whether all tasks are done.
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

/// State of an active job.
#[derive(Clone, Debug)]
pub struct ActiveJob {
    /// The job.
    pub job: Arc<Job>,
    /// Queue of the job.
    pub queue: key::Queue,
    /// Account that its runs count against; `None` if it was submitted without a credential.
    pub account: Option<account::Key>,
    /// Whether it is within the rate that its account is guaranteed.
    pub standing: Standing,
    /// Open occurrences, by number and without gaps: a prefix of those that are due and not done. Later ones that are done
    /// stay until all before them are.
    pub occurrences: VecDeque<Occurrence>,
    /// Number of the first occurrence that has not been opened.
    pub next: u32,
    /// All occurrences below this number are done.
    pub finished: u32,
    /// Whether a runner is known to have started a task.
    pub begun: bool,
    /// How the job ended.
    pub outcome: Option<Outcome>,
    /// Whether the log lacks the latest state.
    pub dirty: bool,
}

impl ActiveJob {
    /// Returns an open occurrence.
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.get(self.occurrence_index(number)?)
    }

    /// Returns an open occurrence.
    pub fn occurrence_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        let index = self.occurrence_index(number)?;
        self.occurrences.get_mut(index)
    }

    /// Returns the position of an occurrence in [`occurrences`](Self::occurrences) if it is not before the first open one.
    fn occurrence_index(&self, number: u32) -> Option<usize> {
        let first = self.occurrences.front()?.number;
        Some(number.checked_sub(first)? as usize)
    }

    /// Tells whether the next occurrence is due at `wall`, the time of day, and may be opened beside the open ones.
    pub fn may_open_next(&self, wall: Time) -> bool {
        self.outcome.is_none()
            && self.next < self.job.occurrences()
            && self.occurrences.len() < self.job.open_limit()
            && self.job.due(self.next).is_none_or(|due| wall >= due)
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

    /// Returns whether any task has a run.
    pub fn has_runs(&self) -> bool {
        let mut tasks = self
            .occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.tasks);
        tasks.any(|task| !task.runs.is_empty())
    }

    /// Returns whether all steps that `step` waits for are done.
    pub fn is_unblocked(&self, occurrence: &Occurrence, step: usize) -> bool {
        let after = self.job.steps[step].after.iter();
        after
            .copied()
            .all(|step| occurrence.steps[usize::from(step)].tasks_left == 0)
    }

    /// Returns whether a task waits for a runner.
    pub fn is_ready(&self, number: u32, step: u16, index: u16) -> bool {
        self.task(number, step, index)
            .is_some_and(|task| task.state == State::Ready)
    }
}
