//! Checks of a submitted job.

use super::{
    Job,
    Step, //
};

/// Longest specification of a job.
const SPECIFICATION_LIMIT_BYTES: usize = 4_000;
/// Largest number of steps of a job.
const STEP_LIMIT: usize = 100;
/// Largest number of tasks in the open occurrences of a job. Their progress has to fit into one log record.
pub(super) const TASK_LIMIT: usize = 2_000;
/// Largest number of occurrences of a job.
const OCCURRENCE_LIMIT: u32 = 100_000;

/// A submitted job is not allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The specification is too long.
    #[error(
        "the specification has {0} bytes: shorten it to at most {SPECIFICATION_LIMIT_BYTES} bytes"
    )]
    Specification(usize),
    /// The job has no step or too many.
    #[error("the job has {0} steps: give 1 to {STEP_LIMIT}")]
    Steps(usize),
    /// A step has no task, or the job has too many.
    #[error(
        "step {step} has no task or brings the job to {tasks} tasks: give each step at least one task and the job at most {TASK_LIMIT}"
    )]
    Tasks {
        /// Position of the step, from 0.
        step: usize,
        /// Number of tasks up to and including this step.
        tasks: usize,
    },
    /// A step depends on itself or on a later one.
    #[error("step {step} waits for step {after}: name only earlier steps")]
    After {
        /// Position of the step, from 0.
        step: usize,
        /// Position of the step that it depends on.
        after: u16,
    },
    /// The job has too many occurrences.
    #[error("the job is repeated {0} times: repeat it at most {OCCURRENCE_LIMIT} times")]
    Occurrences(u32),
    /// The occurrences of a job whose tasks run until it is cancelled are open all at once, and have too many tasks.
    #[error(
        "the job has long-running tasks and is repeated {occurrences} times: repeat it at most {limit} times, or give it fewer tasks"
    )]
    LongRunningOccurrences {
        /// Number of occurrences.
        occurrences: u32,
        /// Largest number of occurrences with this number of tasks.
        limit: usize,
    },
}

pub(super) fn check(job: &Job) -> Result<(), Error> {
    let length = job.specification.len();
    if length > SPECIFICATION_LIMIT_BYTES {
        return Err(Error::Specification(length));
    }
    if job.steps.is_empty() || job.steps.len() > STEP_LIMIT {
        return Err(Error::Steps(job.steps.len()));
    }
    let occurrences = job.occurrences();
    if occurrences > OCCURRENCE_LIMIT {
        return Err(Error::Occurrences(occurrences));
    }
    let mut tasks = 0;
    for (step, value) in job.steps.iter().enumerate() {
        tasks += usize::from(value.count);
        if value.count == 0 || tasks > TASK_LIMIT {
            return Err(Error::Tasks { step, tasks });
        }
        check_order(step, value)?;
    }
    let limit = job.open_limit();
    if job.is_long_running() && occurrences as usize > limit {
        return Err(Error::LongRunningOccurrences { occurrences, limit });
    }
    Ok(())
}

fn check_order(step: usize, value: &Step) -> Result<(), Error> {
    match value
        .after
        .iter()
        .find(|&&after| usize::from(after) >= step)
    {
        Some(&after) => Err(Error::After { step, after }),
        None => Ok(()),
    }
}
