//! Order of tasks that wait.

use crate::job::TaskKey;
use sassafrascrank_base::prelude::*;

/// Whether a job can still meet its objective. In an overload, jobs that can come before those that can't.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// It can.
    #[default]
    Timely,
    /// It can't, but an end within three times the objective is worth something.
    Late,
    /// It can't even do that.
    Overdue,
}

/// Position of a waiting task; smaller ones start first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Tasks that last come before others of the same urgency, since each second without them counts.
    pub class: u8,
    /// Whether the objective can still be met.
    pub tier: Tier,
    /// When the job's objective ends.
    pub deadline: Time,
    /// The task.
    pub task: TaskKey,
}
