//! Checks of a submitted job.

use super::{
    Job,
    Step, //
};

/// Longest specification in bytes.
const SPECIFICATION_LIMIT: usize = 4_000;
/// Steps of one job.
const STEP_LIMIT: usize = 100;
/// Tasks of one occurrence; progress of that many fits into one record.
const TASK_LIMIT: usize = 2_000;
/// Occurrences of one job.
const OCCURRENCE_LIMIT: u32 = 100_000;

/// A job is not allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The specification is too long.
    #[error("the specification has {0} bytes: shorten it to at most {SPECIFICATION_LIMIT} bytes")]
    Specification(usize),
    /// There is no step or there are too many.
    #[error("the job has {0} steps: give 1 to {STEP_LIMIT}")]
    Steps(usize),
    /// A step has no task or the job has too many.
    #[error(
        "step {step} makes the job {tasks} tasks wide: give each step at least one task and the job at most {TASK_LIMIT}"
    )]
    Tasks {
        /// Position of the step.
        step: usize,
        /// Tasks up to and including this step.
        tasks: usize,
    },
    /// A step waits for itself or for a later one.
    #[error("step {step} waits for step {after}: name only earlier steps")]
    After {
        /// Position of the step.
        step: usize,
        /// Step that it names.
        after: u16,
    },
    /// Too many occurrences.
    #[error("the job is repeated {0} times: repeat it at most {OCCURRENCE_LIMIT} times")]
    Occurrences(u32),
}

pub(super) fn check(job: &Job) -> Result<(), Error> {
    let length = job.specification.len();
    if length > SPECIFICATION_LIMIT {
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
