//! Keys of active jobs and of their steps and tasks.

use sassafrascrank_job::id::Position;

slotmap::new_key_type! {
    /// Identifies an active job within this process.
    pub struct Key;
}

/// Identifies a step in one occurrence of an active job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// The job.
    pub job_key: Key,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
}

/// Identifies a task of an active job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// The job.
    pub job_key: Key,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
    /// Index of the task within the step.
    pub index: u16,
}

impl TaskKey {
    /// Returns the key of the task at a position within a job.
    pub const fn new(job_key: Key, position: Position) -> Self {
        Self {
            job_key,
            occurrence: position.occurrence,
            step: position.step,
            index: position.index,
        }
    }

    /// Returns the key of the task's step.
    pub const fn step(self) -> StepKey {
        StepKey {
            job_key: self.job_key,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl StepKey {
    /// Returns the key of a task of the step.
    pub const fn task(self, index: u16) -> TaskKey {
        TaskKey {
            job_key: self.job_key,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}
