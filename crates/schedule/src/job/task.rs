//! State of a task.

use super::run;
use crate::runner;
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// Scheduling state of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// The task waits for earlier steps.
    #[default]
    Blocked,
    /// The task waits for a runner.
    Ready,
    /// The task has a run.
    Active,
    /// The task is done.
    Done,
}

/// State of a task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Scheduling state.
    pub state: State,
    /// Number of attempts that failed.
    pub failures: u16,
    /// Number of runners in a row that may have crashed because of the task, with those that have only stopped answering.
    pub crashes: u8,
    /// No run starts before this time, since too many runners may have crashed because of the task.
    pub paused_until: Time,
    /// Number of the latest attempt.
    pub attempt: u32,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Runs that have not ended. Only a speculative task has more than one, or one of which a run was given up too early.
    pub runs: Vec<run::Key>,
    /// Runner on which the task last failed or was slow; others are preferred to it.
    pub avoid: Option<runner::Key>,
    /// Number of restarts because a run was slow, or slowed down others.
    pub restarts: u8,
    /// When it was last moved away from tasks that it slows down.
    pub separated_at: Time,
}

impl Task {
    /// Returns whether the task is still in its initial state, so that the log needs no entry for it.
    pub fn is_initial(&self) -> bool {
        self.attempt == 0 && self.failures == 0 && self.state != State::Done
    }
}
