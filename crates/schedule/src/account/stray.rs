//! Runs that the engine has given up and that a runner still lists.

use super::Key;
use crate::runner;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Resource,
    id, //
};

/// Largest number of strays that are counted. Each runner lists few runs that were given up.
const LIMIT: usize = 1_024;

/// A run that the engine has given up and that a runner still lists. It is being stopped.
#[derive(Clone, Copy, Debug)]
pub struct Stray {
    /// The runner.
    pub runner: runner::Key,
    /// The task.
    pub task: id::Task,
    /// Number of the attempt.
    pub attempt: u32,
    /// Account of its job.
    pub account: Key,
    /// What it needs.
    pub need: Resource,
    /// When it has ended at the latest.
    pub until: Time,
}

impl Stray {
    fn is_same_run(&self, other: &Self) -> bool {
        (self.runner, self.task, self.attempt) == (other.runner, other.task, other.attempt)
    }
}

/// All strays that count against an account.
#[derive(Clone, Debug, Default)]
pub struct Strays(Vec<Stray>);

impl Strays {
    /// Adds a stray, or extends the time of a known one. Returns one that no longer counts because there are too many.
    pub fn insert(&mut self, stray: Stray) -> Option<Stray> {
        if let Some(known) = self.0.iter_mut().find(|known| known.is_same_run(&stray)) {
            known.until = known.until.max(stray.until);
            return None;
        }
        self.0.push(stray);
        if self.0.len() <= LIMIT {
            return None;
        }
        let ends = self.0.iter().enumerate();
        let (first, _) = ends.min_by_key(|(_, stray)| stray.until)?;
        Some(self.0.swap_remove(first))
    }

    /// Tells whether a run counts.
    pub fn contains(&self, runner: runner::Key, task: id::Task, attempt: u32) -> bool {
        let mut strays = self.0.iter();
        strays.any(|stray| (stray.runner, stray.task, stray.attempt) == (runner, task, attempt))
    }

    /// Removes the strays that have ended.
    pub fn expire(&mut self, now: Time) -> Vec<Stray> {
        self.0.extract_if(.., |stray| now > stray.until).collect()
    }
}
