//! Runs whose end was not reported, and tasks that crash their runners.

use super::{
    Engine,
    crash::CRASH_LIMIT, //
};
use crate::{
    job::{
        self, Run, TaskKey,
        run::{
            self,
            Stage, //
        },
    },
    note::Kind,
    runner::{
        self,
        Runner, //
    },
};
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// Time after its start in which a task that crashes its runner does so. A task that runs for longer is not the cause of
/// what happens to its runner.
const CRASH_WINDOW: Duration = Duration::from_millis(500);
/// Time after its start from which the log has that a run is not the cause if its runner ends. Shorter runs need no such
/// record, since few of them are left when the leader changes.
const SETTLED_AFTER: Duration = Duration::from_secs(1);
/// Time without a start after the loss of a task that may have crashed [`CRASH_LIMIT`] runners or more. A runner that has
/// crashed is usually back within this time, and so known to have crashed. It also limits how fast a long-running task,
/// which is never given up, ends what runs on other runners.
const CRASH_PAUSE: Duration = Duration::from_secs(3);
/// Largest time between the last answers of runners that fail together.
const RACK_FAILURE_SPREAD: Duration = Duration::from_secs(1);

/// Why a run is known to be over, although its end was not reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Loss {
    /// The runner no longer lists it.
    NotListed,
    /// The runner has not answered until the lease ended.
    LeaseEnded,
    /// The host was ordered to move or to begin its maintenance.
    HostOrdered,
    /// The host has a later runner.
    HostReused,
    /// The runner is listed, or answers, with a later incarnation.
    Reborn,
    /// Another runner answers in its place.
    Replaced,
}

impl Loss {
    /// Returns the name for logs and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::NotListed => "not-listed",
            Self::LeaseEnded => "lease-ended",
            Self::HostOrdered => "host-ordered",
            Self::HostReused => "host-reused",
            Self::Reborn => "reborn",
            Self::Replaced => "replaced",
        }
    }
}

/// Tells whether a run that was lost may have crashed its runner.
fn may_have_crashed(run: &Run, runner: &Runner, loss: Loss) -> bool {
    if runner.leaves_at.is_some() || runner.rack_failed {
        return false;
    }
    // A later incarnation that lacks a run of an earlier one shows that the earlier one has ended.
    let ended = match loss {
        Loss::NotListed if run.moved => true,
        Loss::NotListed | Loss::HostOrdered => return false,
        Loss::LeaseEnded => false,
        Loss::HostReused | Loss::Reborn | Loss::Replaced => true,
    };
    match begun_at(run) {
        _ if run.settled => false,
        Some(_) => !has_outlived_trial(run, runner),
        // A start that was not answered, or whose answer an earlier leader got, counts if the runner has ended. A runner
        // that is only silent may have been cut off before.
        None => ended,
    }
}

/// Returns when the run was first known to be alive, if it was.
fn begun_at(run: &Run) -> Option<Time> {
    run.started.or(run.adopted)
}

/// Tells whether the runner has answered so long after the start of a run that the run has not crashed it. A run that is
/// settled may have worked for less, on a runner that was about to leave.
pub(super) fn has_outlived_trial(run: &Run, runner: &Runner) -> bool {
    age(run, runner) >= CRASH_WINDOW
}

/// Tells whether a former leader has started a run. How long it had gone on before this leader is not known.
fn is_inherited(run: &Run) -> bool {
    run.stage == Stage::Inherited || run.adopted.is_some()
}

/// Returns the time from the start of a run for which its runner is known to have worked.
fn age(run: &Run, runner: &Runner) -> Duration {
    // Answers of a later incarnation say nothing about an earlier one.
    let alive_at = match run.moved {
        true => run.alive_at,
        false => run.alive_at.max(runner.alive_at),
    };
    begun_at(run).map_or(Duration::ZERO, |begun| alive_at.since(begun))
}

/// Tells whether a run has started so recently that it may still crash its runner.
fn is_recent(run: &Run, now: Time) -> bool {
    !run.settled && begun_at(run).is_none_or(|begun| now.since(begun) < CRASH_WINDOW)
}

/// Tells whether a run of a task that may have crashed other runners may still crash its own.
fn is_on_trial(run: &Run, now: Time) -> bool {
    run.crashes > 0 && is_recent(run, now)
}

/// Returns the time until the runner of a run on trial has to be asked whether it still works; `None` for other runs. A
/// poll that is held open for longer would leave a later crash to the task.
pub(super) fn trial_time_left(run: &Run, runner: &Runner, now: Time) -> Option<Duration> {
    let on_trial = run.crashes > 0 && !run.settled && !has_outlived_trial(run, runner);
    let begun = begun_at(run).filter(|_| on_trial)?;
    Some((begun + CRASH_WINDOW).since(now))
}

/// Pauses a task that may have crashed too many runners, the last one of them at `crashed`.
pub(super) fn pause(task: &mut job::Task, crashed: Time) {
    if task.crashes >= CRASH_LIMIT {
        task.paused_until = crashed + CRASH_PAUSE;
    }
}

/// Tells whether one more crash ends the job of a task that may have crashed `crashes` runners.
fn is_last_trial(crashes: u8) -> bool {
    crashes.saturating_add(1) >= CRASH_LIMIT
}

impl Engine {
    /// Tells whether a task that may have crashed `crashes` runners may start beside the runs on a runner.
    ///
    /// Two such tasks do not start there within the [`CRASH_WINDOW`], so that only one is suspected if the runner crashes
    /// again. In its last trial, a task starts apart from all others: another one that has not been suspected yet could be
    /// the cause.
    pub(super) fn may_share(&self, runner: &Runner, crashes: u8, now: Time) -> bool {
        if crashes == 0 && runner.suspects == 0 {
            return true;
        }
        let mut runs = runner.runs.iter().map(|&run| &self.runs[run]);
        runs.all(|run| {
            let on_trial = is_on_trial(run, now);
            let excludes = on_trial && (crashes > 0 || is_last_trial(run.crashes));
            let excluded = is_last_trial(crashes) && is_recent(run, now);
            !excludes && !excluded
        })
    }

    /// Marks the runners of a rack that failed as a whole, so that no task is suspected of it.
    pub(super) fn mark_rack_failure(&mut self, key: runner::Key) {
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        let (rack, alive_at) = (runner.rack.clone(), runner.alive_at);
        let others = self
            .runners
            .iter()
            .filter(|(other, runner)| *other != key && runner.rack == rack && !rack.is_empty());
        let others: Vec<(runner::Key, &Runner)> = others.collect();
        let failed = |runner: &Runner| {
            let spread = runner.alive_at.since(alive_at) + alive_at.since(runner.alive_at);
            runner.misses > 0 && spread < RACK_FAILURE_SPREAD
        };
        if others.is_empty() || !others.iter().all(|(_, runner)| failed(runner)) {
            return;
        }
        let keys: Vec<runner::Key> = others.iter().map(|(other, _)| *other).collect();
        for key in keys.into_iter().chain([key]) {
            self.runners[key].rack_failed = true;
        }
    }

    /// Returns how many runs on a runner are at risk beside the task that starts there, which may have crashed `crashes`
    /// runners: all of them, or those that put the task itself at risk.
    pub(super) fn exposed(&self, runner: &Runner, crashes: u8, now: Time) -> usize {
        if crashes > 0 {
            return runner.runs.len();
        }
        if runner.suspects == 0 {
            return 0;
        }
        let runs = runner.runs.iter().map(|&run| &self.runs[run]);
        runs.filter(|run| is_on_trial(run, now)).count()
    }

    /// Releases a run that is known to be over, although its end was not reported.
    pub(super) fn lose(&mut self, key: run::Key, loss: Loss, now: Time) {
        if let Some(run) = self.release(key)
            && run.stage != Stage::Planned
        {
            self.note_run(Kind::Lost, loss.as_str(), &run, now);
            self.count_crash(&run, loss, now);
            self.break_gang(&run, now);
        }
    }

    /// Counts a lost run that may have crashed its runner, and ends the job of a task that does so again and again. Each
    /// further start would end what runs on another runner.
    fn count_crash(&mut self, run: &Run, loss: Loss, now: Time) {
        let Some(runner) = self.runners.get(run.runner) else {
            return;
        };
        // A former leader may have given the order while its run was still there.
        let inherited = is_inherited(run);
        let ordered_away = inherited && self.was_ordered_away(&runner.host, run.incarnation, now);
        let suspected = !ordered_away && may_have_crashed(run, runner, loss);
        let cleared = has_outlived_trial(run, runner);
        let id = Arc::clone(&runner.id);
        let task = run.task;
        if cleared {
            self.clear_crashes(task);
        }
        if !suspected {
            return;
        }
        if inherited && loss != Loss::LeaseEnded {
            self.suspect_ended_runner(task, &id);
        } else if loss != Loss::LeaseEnded || self.add_suspicion(run) {
            // Whether a silent runner has crashed is known later.
            if let Some(state) = self.task_mut(task) {
                state.crashes = state.crashes.saturating_add(1);
            }
        }
        if let Some(state) = self.task_mut(task) {
            pause(state, now);
        }
        self.note_run(Kind::CrashSuspected, loss.as_str(), run, now);
        self.give_up_crashing(task, now);
    }

    /// Stores which runs on a runner are not the cause if it ends, since a later leader can't tell how long they have gone
    /// on, nor that the runner was about to leave. To that leader, no start of them can be carried out any more.
    pub(super) fn settle_runs(&mut self, key: runner::Key, now: Time) {
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        let leaves = runner.leaves_at.is_some();
        let is_due = |run: &&run::Key| {
            let run = &self.runs[**run];
            let settled = leaves || age(run, runner) >= SETTLED_AFTER;
            let sure = run.starts.until().is_none_or(|until| now > until);
            run.stage == Stage::Running && !run.settled && settled && sure
        };
        let due: Vec<run::Key> = runner.runs.iter().filter(is_due).copied().collect();
        for key in due {
            let run = &mut self.runs[key];
            run.settled = true;
            let job_key = run.task.job_key;
            self.mark_dirty(job_key);
        }
    }

    /// Clears the tasks of the runs on a runner that have not crashed it in time. The log has to know that, since a later
    /// leader can't tell how long a run has gone on.
    pub(super) fn clear_suspects(&mut self, key: runner::Key) {
        let Some(runner) = self.runners.get(key).filter(|runner| runner.suspects > 0) else {
            return;
        };
        let cleared = |run: &&run::Key| {
            let run = &self.runs[**run];
            run.crashes > 0 && run.stage == Stage::Running && has_outlived_trial(run, runner)
        };
        let runs = runner.runs.iter().filter(cleared);
        let tasks: Vec<TaskKey> = runs.map(|&run| self.runs[run].task).collect();
        for task in tasks {
            self.clear_crashes(task);
        }
    }
}
