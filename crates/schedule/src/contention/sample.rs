//! An observation of one task and of the tasks beside it.

use super::Key;

/// An image beside a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Beside {
    /// The image.
    pub image: Key,
    /// Part of the observed time for which it worked at full speed, from 0 to 1.
    pub presence: f64,
}

/// An observation of one task and of the tasks beside it.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Image of the task.
    pub affected: Key,
    /// Slowdown: the tail latency as a share of its target, or the duration as a share of the usual one.
    pub slowdown: f64,
    /// Weight of the sample; 1 for a full one.
    pub weight: f64,
    /// Images beside it, each once.
    pub beside: &'a [Beside],
}
