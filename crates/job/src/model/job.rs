//! A job as its caller submitted it.

use super::{
    Error,
    Step,
    check, //
};
use crate::Id;
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// About what a leader's scheduler holds for a waiting task: its state, its sort key, and their share of the containers.
const TASK_BYTES: usize = 128;

/// Schedule of a job that runs more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// Wall-clock time at which the first occurrence is due.
    pub first: Time,
    /// Time from one due occurrence to the next.
    pub period: Duration,
}

/// Settings of a queue at the time when a job was submitted.
///
/// They are stored with the job, so that the job can still be scheduled after its queue has been removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Name of the pool whose runners run the tasks.
    pub pool: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Number of failed attempts of one task after which the whole job fails.
    pub attempts: u16,
    /// Objective for the duration of a job, in thousandths of its critical path, to which [`target`](Self::target) is
    /// added.
    pub stretch: u32,
    /// Constant part of the objective.
    pub target: Duration,
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Identity, chosen by the caller.
    pub id: Id,
    /// Name of the queue that the job was submitted to.
    pub queue: Arc<str>,
    /// Name of the client account that submitted it; `None` if its request needed no credential.
    pub account: Option<Arc<str>>,
    /// Settings of the queue when the job was submitted.
    pub policy: Policy,
    /// Text that is passed to each task.
    pub specification: Arc<str>,
    /// Steps; each one names only steps before it as its predecessors.
    pub steps: Arc<[Step]>,
    /// Schedule of the occurrences, if the job runs more than once.
    pub repeat: Option<Repeat>,
    /// When an entry received the job, by the clock of that entry.
    pub submitted: Time,
}

impl Job {
    /// Returns the job if it is within the limits and its steps are in order.
    ///
    /// # Errors
    ///
    /// Names the value that is not allowed.
    pub fn check(self) -> Result<Self, Error> {
        check::check(&self)?;
        Ok(self)
    }

    /// Returns about how many bytes of memory the job takes, also in the scheduler of a leader.
    pub fn bytes(&self) -> usize {
        let steps = self.steps.iter().map(Step::bytes).sum::<usize>();
        let open = self.open_limit().min(self.occurrences() as usize);
        let tasks = self.task_count().saturating_mul(open) * TASK_BYTES;
        size_of::<Self>() + self.specification.len() + steps + tasks
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }

    /// Returns the number of tasks of one occurrence.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }

    /// Returns the largest number of occurrences that may be open at once. The progress of their tasks has to fit into one
    /// log record.
    pub fn open_limit(&self) -> usize {
        (check::TASK_LIMIT / self.task_count().max(1)).max(1)
    }

    /// Tells whether any task runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the wall-clock time at which an occurrence is due, or `None` if it is due at once.
    pub fn due(&self, occurrence: u32) -> Option<Time> {
        self.repeat
            .map(|repeat| repeat.first + repeat.period.saturating_mul(occurrence))
    }
}
