//! A task under way.

use super::run;
use crate::runner;
use std::sync::Arc;

/// Whether a task may start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// It waits for earlier steps.
    #[default]
    Blocked,
    /// It waits for a runner.
    Ready,
    /// It has a run.
    Active,
    /// It is done.
    Done,
}

/// A task under way.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether it may start.
    pub state: State,
    /// Attempts that failed.
    pub failures: u16,
    /// Last attempt that was ordered.
    pub attempt: u32,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Its runs that have not ended; more than one only if it is speculative.
    pub runs: Vec<run::Key>,
    /// Runner on which it last failed or was slow.
    pub avoid: Option<runner::Key>,
    /// Times that it was started again because its run was slow.
    pub restarts: u8,
}

impl Task {
    /// Tells whether the log has to hold anything about it.
    pub fn is_initial(&self) -> bool {
        self.attempt == 0 && self.failures == 0 && self.state != State::Done
    }
}
