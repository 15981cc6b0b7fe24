//! The durable state of a job.

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
    /// A task failed as often as its queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// The runner that may run an attempt of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Identity of the runner.
    pub runner: Arc<str>,
    /// Start of this life of the runner.
    pub incarnation: u64,
    /// Host of the runner; a later life there shows that this one is over.
    pub host: Arc<str>,
    /// Attempt that was ordered there.
    pub attempt: u32,
}

/// The durable state of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Task {
    /// Position within the job.
    pub position: Position,
    /// It is done.
    pub done: bool,
    /// Attempts that failed.
    pub failures: u16,
    /// Last attempt that was ordered.
    pub attempt: u32,
    /// Where attempts may run.
    pub assignments: Vec<Assignment>,
    /// Latest checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
}

/// The whole durable state of a job; a newer one replaces it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Progress {
    /// The job.
    pub id: Id,
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// How the job ended, if it has.
    pub outcome: Option<Outcome>,
    /// A task has been ordered.
    pub begun: bool,
    /// Occurrences below this one are done.
    pub finished: u32,
    /// Tasks of other occurrences whose state is not the initial one.
    pub tasks: Vec<Task>,
}

impl Progress {
    /// Tells whether any attempt may run.
    pub fn is_active(&self) -> bool {
        self.tasks.iter().any(|task| !task.assignments.is_empty())
    }
}
