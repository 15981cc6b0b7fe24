//! Order of waiting tasks.

use crate::{
    account::{
        Slot,
        Standing, //
    },
    job::TaskKey, //
};
use sassafrascrank_base::prelude::*;

/// Whether a job can still meet its objective. In an overload, jobs that can start before those that can't.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// The job can meet it.
    #[default]
    Timely,
    /// The job can't meet it, but can end within three times the objective, which still has some value.
    Late,
    /// The job can't end within three times the objective.
    Overdue,
}

/// Sort key of a waiting task; smaller ones start first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority and kind of the task. Long-running tasks come before others of the same priority, since they are
    /// measured by the time that they are down.
    pub class: u8,
    /// Whether the job is within the rate that its account is guaranteed.
    pub standing: Standing,
    /// Whether the objective can still be met.
    pub tier: Tier,
    /// Time by which the job should end.
    pub deadline: Time,
    /// The task.
    pub task: TaskKey,
    /// Account of its job.
    pub account: Slot,
}

impl Rank {
    /// Tells whether tasks differ in their deadlines and accounts only.
    pub fn is_equal_but_deadline(&self, other: &Self) -> bool {
        let place = |rank: &Self| (rank.class, rank.standing, rank.tier);
        place(self) == place(other)
    }
}
