//! One attempt of a task at one runner.

use super::TaskKey;
use crate::runner;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Resource,
    id, //
};
use std::sync::Arc;

slotmap::new_key_type! {
    /// Identifies a run within one process.
    pub struct Key;
}

/// How far a run is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The log does not hold it yet; nothing was ordered.
    Planned,
    /// The start was ordered.
    Ordered,
    /// The log of an earlier leader names it; it may or may not run.
    Inherited,
    /// It runs.
    Running,
    /// It is being stopped, or made impossible.
    Stopping,
}

/// One attempt of a task at one runner.
#[derive(Clone, Debug)]
pub struct Run {
    /// The task.
    pub task: TaskKey,
    /// Its name.
    pub task_id: id::Task,
    /// Number of the attempt.
    pub attempt: u32,
    /// The runner.
    pub runner: runner::Key,
    /// What it takes of the runner's capacity.
    pub need: Resource,
    /// How far it is.
    pub stage: Stage,
    /// When it was planned.
    pub planned: Time,
    /// When a runner first showed it to this leader, if a former leader started it.
    pub adopted: Option<Time>,
    /// When the start was confirmed; `None` for a run of a former leader.
    pub started: Option<Time>,
    /// When the latest order about it was answered; a look sent later shows it if it exists.
    pub answered_at: Option<Time>,
    /// When it was last ordered to stop.
    pub stop_ordered_at: Option<Time>,
    /// Approval by the advice service.
    pub ticket: Option<Arc<str>>,
    /// Progress or share at which it works, in percent, as last seen.
    pub percent: u8,
    /// What the runner's views have shown of the progress.
    pub progress: Progress,
    /// Tail of the response times in milliseconds, or used processor time, as last seen.
    pub load: u64,
    /// Share in percent that was last ordered.
    pub pace_percent: u8,
    /// When the share was last ordered.
    pub pace_ordered_at: Time,
}

/// What a runner's views have shown of the progress of a run, in milliseconds of its clock, so that delayed answers
/// don't matter.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Time and percentage of the first view.
    first: Option<(u64, u8)>,
    /// Time of the latest view, and its percentage.
    latest: (u64, u8),
    /// Time of the latest view with another percentage than the one before.
    changed_at: u64,
}

impl Progress {
    /// Takes what a view showed.
    pub fn record(&mut self, clock: u64, percent: u8) {
        if self.first.is_none() || percent != self.latest.1 {
            self.changed_at = clock;
        }
        self.first.get_or_insert((clock, percent));
        self.latest = (clock, percent);
    }

    /// Returns for how long the percentage has not changed.
    pub fn unchanged_for(&self) -> Duration {
        Duration::from_millis(self.latest.0.saturating_sub(self.changed_at))
    }

    /// Returns the time that the whole task takes, from two views that are at least `span` apart.
    pub fn projected_duration(&self, span: Duration) -> Option<Duration> {
        let (since, first) = self.first?;
        let seen = Duration::from_millis(self.latest.0.saturating_sub(since));
        let gained = u32::from(self.latest.1.saturating_sub(first));
        (seen >= span && gained > 0).then(|| seen * 100 / gained)
    }
}
