//! Identity of a task.

use super::Id;
use core::fmt;

/// Position of a task within its job.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Occurrence of a repeated job, 0 for others.
    pub occurrence: u32,
    /// Step of the job.
    pub step: u16,
    /// Number of the task within the step.
    pub index: u16,
}

/// A task of any job; its text is `ID.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Task {
    /// Job of the task.
    pub job: Id,
    /// Position within the job.
    pub position: Position,
}

/// A text is not the identity of a task. It holds the beginning of the text.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("invalid task id {0:?}: use ID.OCCURRENCE.STEP.INDEX")]
pub struct Error(pub String);

/// Largest number of characters that an error quotes.
const QUOTE_LIMIT: usize = 60;

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position {
            occurrence,
            step,
            index,
        } = self.position;
        write!(f, "{}.{occurrence}.{step}.{index}", self.job)
    }
}

impl TryFrom<&str> for Task {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        parse(text).ok_or_else(|| Error(text.chars().take(QUOTE_LIMIT).collect()))
    }
}

fn parse(text: &str) -> Option<Task> {
    let mut parts = text.split('.');
    let job = Id::try_from(parts.next()?).ok()?;
    let position = Position {
        occurrence: parts.next()?.parse().ok()?,
        step: parts.next()?.parse().ok()?,
        index: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(Task { job, position })
}
