//! A job as its caller submitted it.

use super::{
    Error,
    Step,
    check, //
};
use crate::Id;
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// Times at which a job runs again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// When the first one is due, by the time of day.
    pub first: Time,
    /// Time between two occurrences.
    pub period: Duration,
}

/// What the configuration said of a queue when a job was submitted. It serves jobs whose queue is removed later.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Name of the pool whose runners run the tasks.
    pub pool: Arc<str>,
    /// Urgency; 0 comes first.
    pub priority: u8,
    /// Failed attempts of one task after which the job has failed.
    pub attempts: u16,
    /// Objective: this many thousandths of the longest chain of work, and [`target`](Self::target) more.
    pub stretch: u32,
    /// Time that the objective adds to the chain of work.
    pub target: Duration,
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Chosen by the caller.
    pub id: Id,
    /// Name of the queue that it was submitted to.
    pub queue: Arc<str>,
    /// What the configuration said of the queue.
    pub policy: Policy,
    /// Text that is handed to each task.
    pub specification: Arc<str>,
    /// Steps, each after those that it names.
    pub steps: Arc<[Step]>,
    /// Occurrences, if the job runs more than once.
    pub repeat: Option<Repeat>,
    /// When an entry took it, by that entry's clock.
    pub submitted: Time,
}

impl Job {
    /// Returns the job if it is well-formed.
    ///
    /// # Errors
    ///
    /// Names the field that is not allowed.
    pub fn check(self) -> Result<Self, Error> {
        check::check(&self)?;
        Ok(self)
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }

    /// Returns the number of tasks of one occurrence.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }

    /// Tells whether any task runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns when an occurrence is due by the time of day, or `None` if it is due at once.
    pub fn due(&self, occurrence: u32) -> Option<Time> {
        self.repeat
            .map(|repeat| repeat.first + repeat.period.saturating_mul(occurrence))
    }
}
