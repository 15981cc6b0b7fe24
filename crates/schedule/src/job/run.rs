//! An attempt of a task on a runner.

use super::{
    Starts,
    TaskKey, //
};
use crate::{
    account,
    contention,
    runner, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Resource,
    Step,
    id, //
};
use std::sync::Arc;

slotmap::new_key_type! {
    /// Identifies a run within this process.
    pub struct Key;
}

/// Stage of a run's life cycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The run is not in the log yet, and nothing was ordered.
    Planned,
    /// The start was ordered.
    Ordered,
    /// An earlier leader wrote the run to the log; it may or may not be alive.
    Inherited,
    /// The run is alive.
    Running,
    /// The run was ordered to stop, or not to start any more.
    Stopping,
}

/// An attempt of a task on a runner.
#[derive(Clone, Debug)]
pub struct Run {
    /// The task.
    pub task: TaskKey,
    /// Identity of the task in orders and in the log.
    pub task_id: id::Task,
    /// Number of the attempt.
    pub attempt: u32,
    /// The runner.
    pub runner: runner::Key,
    /// Whether this incarnation of the runner has listed the run, so that the run ends with it.
    pub listed: bool,
    /// Whether its start was ordered to an earlier incarnation of the runner.
    pub moved: bool,
    /// Start of the incarnation that it was ordered to, or of the latest one that has listed it, in Unix milliseconds.
    pub incarnation: u64,
    /// Whether the log has, or will have, that the run is not the cause if its runner ends.
    pub settled: bool,
    /// When the run was last known to be alive.
    pub alive_at: Time,
    /// Resources that it takes of the runner's capacity.
    pub need: Resource,
    /// Account that it counts against, if any.
    pub account: Option<account::Key>,
    /// Resources by which it counts against the account: also the processor time that it takes only while others leave it
    /// idle.
    pub full_need: Resource,
    /// Properties of its task.
    pub traits: Traits,
    /// Stage of its life cycle.
    pub stage: Stage,
    /// Number of runners that its task may have crashed before.
    pub crashes: u8,
    /// When the run was planned.
    pub planned: Time,
    /// When its runner first reported it to this leader, if a former leader started it.
    pub adopted: Option<Time>,
    /// When the start was confirmed; `None` for a run of a former leader.
    pub started: Option<Time>,
    /// What is known of starts without an answer; `None` if each start was answered or is still on its way.
    pub doubt: Option<Doubt>,
    /// Its starts that may still be carried out.
    pub starts: Starts,
    /// When the latest order for the run was answered. The answer to a poll that was sent later has the run if it is
    /// alive.
    pub answered_at: Option<Time>,
    /// When the run was last ordered to stop.
    pub stop_ordered_at: Option<Time>,
    /// Approval by the advice service.
    pub ticket: Option<Arc<str>>,
    /// Progress in percent, or share at which a long-running task works, as last reported.
    pub percent: u8,
    /// History of the progress.
    pub progress: Progress,
    /// Tail latency in milliseconds for a serving task, used processor time for others, as last reported.
    pub load: u64,
    /// Share in percent that the runner last accepted.
    pub pace_percent: u8,
    /// When a share was last ordered.
    pub pace_ordered_at: Time,
    /// What matters for the slowdown of tasks beside it, and of its own.
    pub influence: Influence,
}

/// What matters for the slowdown of the tasks beside a run, and of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Influence {
    /// Image of the task; `None` if it is not tracked.
    pub image: Option<contention::Key>,
    /// When its slowdown was last taken as a sample.
    pub sampled_at: Time,
    /// Since when its share is below the full one.
    pub throttled_since: Option<Time>,
    /// When its share was last changed.
    pub share_changed_at: Time,
    /// The share before, in percent.
    pub former_share: u8,
}

impl Influence {
    /// Records that a runner has accepted a share in place of `former`, both in percent.
    pub const fn change_share(&mut self, former: u8, share: u8, now: Time) {
        self.former_share = former;
        self.share_changed_at = now;
        self.throttled_since = match (share, self.throttled_since) {
            (100.., _) => None,
            (_, None) => Some(now),
            (_, since) => since,
        };
    }
}

/// Properties of a task that matter for other tasks on its runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traits {
    /// The task runs until its job is cancelled.
    pub long_running: bool,
    /// The task has a target for its latency.
    pub serving: bool,
    /// The task uses the capacity that others leave.
    pub background: bool,
}

impl From<&Step> for Traits {
    fn from(step: &Step) -> Self {
        Self {
            long_running: step.long_running,
            serving: step.target.is_some(),
            background: step.uses_spare_cpu,
        }
    }
}

/// Doubt about a start that was not answered: it may have been carried out, or may be until it expires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Doubt {
    /// When the start is repeated if the runner answers again; `None` while a repeat is on its way.
    pub repeat_at: Option<Time>,
}

/// History of the progress of a run. Times are milliseconds of the runner's clock, so that the delay of answers does
/// not count.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Time and percentage of the first report.
    first: Option<(u64, u8)>,
    /// Time and percentage of the latest report.
    latest: (u64, u8),
    /// Time of the latest report whose percentage differed from the one before.
    changed_at: u64,
}

impl Progress {
    /// Records a reported percentage.
    pub fn record(&mut self, clock: u64, percent: u8) {
        if self.first.is_none() || percent != self.latest.1 {
            self.changed_at = clock;
        }
        self.first.get_or_insert((clock, percent));
        self.latest = (clock, percent);
    }

    /// Returns the time for which the percentage has not changed.
    pub fn unchanged_for(&self) -> Duration {
        Duration::from_millis(self.latest.0.saturating_sub(self.changed_at))
    }

    /// Returns the projected duration of the whole task, or `None` until two reports are at least `span` apart and show
    /// progress.
    pub fn projected_duration(&self, span: Duration) -> Option<Duration> {
        let (since, first) = self.first?;
        let seen = Duration::from_millis(self.latest.0.saturating_sub(since));
        let gained = u32::from(self.latest.1.saturating_sub(first));
        (seen >= span && gained > 0).then(|| seen * 100 / gained)
    }
}
