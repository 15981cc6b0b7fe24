//! Order of tasks that wait.

use crate::work::TaskKey;
use sassafrascrank_base::prelude::*;

/// Position of a waiting task; smaller ones start first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Tasks that last come before others of the same urgency, since each second without them counts.
    pub class: u8,
    /// When the job's objective ends.
    pub deadline: Time,
    /// The task.
    pub task: TaskKey,
}
