//! Progress of a job, as the leader stores it.

use crate::{
    Id,
    id::Position, //
};
use std::sync::Arc;

/// How a job ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Outcome {
    /// All tasks are done.
    Done,
    /// A task has failed as often as the queue allows.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// An attempt of a task that was ordered at a runner and may still be running there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Identity of the runner.
    pub runner: Arc<str>,
    /// Incarnation of the runner; it grows when the runner restarts.
    pub incarnation: u64,
    /// Host of the runner. A later incarnation of a runner on the host shows that this one has ended.
    pub host: Arc<str>,
    /// Number of the attempt.
    pub attempt: u32,
    /// The attempt has worked for so long that it is not the cause if the runner ends, or the runner is about to leave.
    pub settled: bool,
}

/// A runner that stopped answering soon after it had started a task. It may have crashed, or may only be cut off.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspicion {
    /// Identity of the runner.
    pub runner: Arc<str>,
    /// Incarnation of the runner.
    pub incarnation: u64,
    /// Host of the runner.
    pub host: Arc<str>,
}

/// A start without an answer of a run that was given up. A later incarnation of the runner may carry it out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// Identity of the runner.
    pub runner: Arc<str>,
    /// Incarnation of the runner that it was sent to.
    pub incarnation: u64,
    /// Host of the runner.
    pub host: Arc<str>,
}

/// Stored state of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Task {
    /// Position within the job.
    pub position: Position,
    /// The task is done.
    pub done: bool,
    /// Number of failed attempts.
    pub failures: u16,
    /// Number of runners in a row that may have crashed because of the task.
    pub crashes: u8,
    /// Those of them that have only stopped answering.
    pub suspicions: Vec<Suspicion>,
    /// Number of the last attempt that was ordered.
    pub attempt: u32,
    /// Attempts that may still be running.
    pub assignments: Vec<Assignment>,
    /// Starts that the task waits for before it starts again.
    pub late_starts: Vec<Start>,
    /// Latest checkpoint that an attempt reported.
    pub checkpoint: Option<Arc<str>>,
}

/// Stored state of a whole job; a newer record replaces it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Identity of the job.
    pub id: Id,
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// How the job ended, if it has.
    pub outcome: Option<Outcome>,
    /// A runner has started a task. A start that was only ordered does not count, since it may be refused or get lost.
    pub begun: bool,
    /// All occurrences with a lower number are done.
    pub finished: u32,
    /// State of the tasks of other occurrences; tasks in their initial state are left out.
    pub tasks: Vec<Task>,
}

impl Progress {
    /// Returns about how many bytes of memory the progress takes, with one assignment for each task.
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.tasks.len() * (size_of::<Task>() + size_of::<Assignment>())
    }

    /// Tells whether any attempt may still be running.
    pub fn is_active(&self) -> bool {
        self.tasks.iter().any(|task| !task.assignments.is_empty())
    }
}
