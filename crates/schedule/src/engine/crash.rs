//! Decision whether a task crashes its runners, so that its job is given up.
//!
//! A task is only known to have run on the runners that crashed. While runners crash that no task has brought down, the
//! same number of crashes is weaker evidence against it.

use super::{
    Engine,
    loss,
    suspicion, //
};
use crate::{
    job::{
        TaskKey,
        run::Stage, //
    },
    note::{
        Kind,
        Note, //
    },
    runner, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::progress::Outcome;
use std::sync::Arc;

/// Number of runners in a row that a task may crash before its job is given up. A runner that crashes takes its other
/// tasks along. Two crashes can be bad luck, since the cause is known only once a task starts apart from other suspected
/// ones.
pub(super) const CRASH_LIMIT: u8 = 3;
/// The same number while runners crash for other reasons. A task that crashes its runners may start twice more after three
/// of them; a third such start breaks the rule on such tasks.
pub(super) const SERIES_LIMIT: u8 = 5;
/// Number of these crashes that have to be known. A job may be given up for a task that has crashed two runners.
const KNOWN_LIMIT: usize = 2;
/// Time for which a crash that no task has caused counts as part of a series. It covers five starts of a task with the
/// pauses between them.
const SERIES_SPAN: Duration = Duration::from_secs(20);
/// Largest number of crashes that are remembered.
const CRASHES_KEPT: usize = 256;
/// Largest number of other crashes in the log lines of one decision.
const CRASHES_NOTED: usize = 16;

/// A crash of a runner.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// When it was known.
    at: Time,
    /// The runner.
    runner: Arc<str>,
    /// Whether only one task had just started there.
    alone: bool,
    /// Tasks that may have caused it. None are left if all of them have run elsewhere without a crash since.
    suspects: Vec<TaskKey>,
}

/// What the crashes of a task's runners show.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Finding {
    /// The task has crashed too few runners for a conclusion.
    Few,
    /// Runners crash for other reasons, so that the task starts again.
    Series,
    /// It depends on whether runners crash for other reasons until the pause of the task ends.
    Open,
    /// The task crashes its runners.
    Proved,
    /// The task may not start again, whatever the cause.
    Limit,
}

impl Finding {
    /// Returns the reason for logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Few => "few",
            Self::Series => "series",
            Self::Open => "open",
            Self::Proved => "proved",
            Self::Limit => "limit",
        }
    }
}

impl Engine {
    /// Remembers that an incarnation of a runner has crashed, unless its end may have been planned or it had already ended
    /// before this leader could ask it.
    pub(super) fn record_crash(&mut self, key: runner::Key, now: Time) {
        let runner = self.runners.get(key);
        let Some(runner) = runner.filter(|runner| runner.leaves_at.is_none()) else {
            return;
        };
        let runs = runner.runs.iter().map(|&run| &self.runs[run]);
        let recent = runs
            .filter(|run| run.stage != Stage::Planned && !run.settled)
            .filter(|run| !loss::has_outlived_trial(run, runner));
        let mut suspects: Vec<TaskKey> = recent.map(|run| run.task).collect();
        let silent = self.suspicions.iter();
        let silent = silent.filter(|(_, suspicion)| suspicion::is_against(suspicion, runner));
        suspects.extend(silent.map(|(task, _)| *task));
        let planned = self.was_ordered_away(&runner.host, runner.incarnation, now);
        if suspects.is_empty() && (!runner.fenced || planned) {
            return;
        }
        let crash = Crash {
            at: now,
            runner: Arc::clone(&runner.id),
            alone: suspects.len() == 1,
            suspects,
        };
        self.crashes
            .retain(|crash| now.since(crash.at) <= SERIES_SPAN);
        if self.crashes.len() >= CRASHES_KEPT {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    /// Handles that a task has run without a crash, so that something else has caused those of its runners.
    pub(super) fn clear_cause(&mut self, task: TaskKey) {
        for crash in &mut self.crashes {
            crash.suspects.retain(|&suspect| suspect != task);
        }
    }

    /// Ends the job of a task that has crashed too many runners.
    pub(super) fn give_up_crashing(&mut self, task: TaskKey, now: Time) {
        let finding = self.assess(task, now);
        if finding == Finding::Few {
            return;
        }
        self.note_finding(task, finding, now);
        match finding {
            Finding::Few | Finding::Series => {}
            Finding::Open => self.postpone_finding(task),
            Finding::Proved | Finding::Limit => {
                self.finish_job(task.job_key, Outcome::Failed, "crashes", now);
            }
        }
    }

    /// Ends the job of a task of a former leader if it may not start again. Whether other runners crashed in the time of
    /// that leader is not known, so nothing else can be concluded.
    pub(super) fn restore_finding(&mut self, task: TaskKey, now: Time) {
        if self.assess(task, now) == Finding::Limit {
            self.give_up_crashing(task, now);
        }
    }

    fn postpone_finding(&mut self, task: TaskKey) {
        if !self.open_findings.contains(&task) {
            self.open_findings.push(task);
        }
    }

    /// Assesses the tasks whose pauses have ended and for which that was left open.
    pub(super) fn close_findings(&mut self, now: Time) {
        let paused = |task: &mut TaskKey| {
            let active = self.jobs.get(task.job_key);
            let state = active.and_then(|job| job.task(task.occurrence, task.step, task.index));
            state.is_none_or(|state| now >= state.paused_until)
        };
        let ended: Vec<TaskKey> = self.open_findings.extract_if(.., paused).collect();
        for task in ended {
            self.give_up_crashing(task, now);
        }
    }

    /// Tells what the crashes of a task's runners show. Runners that are only silent do not count, and long-running tasks
    /// are restarted however they end.
    fn assess(&self, task: TaskKey, now: Time) -> Finding {
        let Some(active) = self.jobs.get(task.job_key) else {
            return Finding::Few;
        };
        let state = active.task(task.occurrence, task.step, task.index);
        let long_running = active.job.steps[usize::from(task.step)].long_running;
        let Some(state) = state.filter(|_| active.outcome.is_none() && !long_running) else {
            return Finding::Few;
        };
        let known = usize::from(state.crashes).saturating_sub(self.suspicions_of(task).count());
        // Whatever its runners' ends show, the task has to stop here if it is the cause.
        if state.crashes >= SERIES_LIMIT && known >= KNOWN_LIMIT {
            return Finding::Limit;
        }
        if known < usize::from(CRASH_LIMIT) {
            return Finding::Few;
        }
        let mut others = self.other_crashes(task, now);
        if others.any(|crash| crash.suspects.is_empty()) {
            Finding::Series
        } else if state.runs.is_empty() && now < state.paused_until {
            Finding::Open
        } else {
            Finding::Proved
        }
    }

    /// Returns the latest crashes that a task has not caused.
    fn other_crashes(&self, task: TaskKey, now: Time) -> impl Iterator<Item = &Crash> {
        let recent = move |crash: &&Crash| now.since(crash.at) <= SERIES_SPAN;
        let crashes = self.crashes.iter().rev().filter(recent);
        crashes.filter(move |crash| !crash.suspects.contains(&task))
    }

    /// Adds notes on a decision: the crashes that the task may have caused, and the latest others.
    fn note_finding(&mut self, task: TaskKey, finding: Finding, now: Time) {
        let Some(active) = self.jobs.get(task.job_key) else {
            return;
        };
        let job = active.job.id;
        let state = active.task(task.occurrence, task.step, task.index);
        let attempt = state.map_or(0, |state| state.attempt);
        let task_id = super::run::task_id(job, task);
        let assessed = Note::new(Kind::CrashAssessed, finding.as_str(), now);
        let mut notes = vec![assessed.with_task(task_id, attempt)];
        let own = self.crashes.iter();
        for crash in own.filter(|crash| crash.suspects.contains(&task)) {
            let reason = if crash.alone { "alone" } else { "shared" };
            notes.push(crash.note(reason, now).with_job(job));
        }
        for crash in self.other_crashes(task, now).take(CRASHES_NOTED) {
            let unexplained = crash.suspects.is_empty();
            let reason = if unexplained { "unexplained" } else { "others" };
            notes.push(crash.note(reason, now).with_job(job));
        }
        self.notes.extend(notes);
    }
}

impl Crash {
    /// Returns a note on the crash as evidence.
    fn note(&self, reason: &'static str, now: Time) -> Note {
        let note = Note::new(Kind::CrashEvidence, reason, now);
        note.with_place(&self.runner).with_age(now.since(self.at))
    }
}
