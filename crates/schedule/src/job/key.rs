//! Keys of jobs, steps and tasks under way.

slotmap::new_key_type! {
    /// Identifies a job under way within one process.
    pub struct Key;
}

/// Identifies a step of one occurrence of a job under way.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// The job.
    pub job_key: Key,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
}

/// Identifies a task of a job under way.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// The job.
    pub job_key: Key,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
    /// Task of the step.
    pub index: u16,
}

impl TaskKey {
    /// Returns the step of the task.
    pub const fn step(self) -> StepKey {
        StepKey {
            job_key: self.job_key,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl StepKey {
    /// Returns a task of the step.
    pub const fn task(self, index: u16) -> TaskKey {
        TaskKey {
            job_key: self.job_key,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}
