//! Runners that fell silent soon after they had started a task, until it is known whether they have crashed.
//!
//! The task starts elsewhere once the lease has ended, whatever has become of the runner. But it is given up only for
//! runners that have ended: one that was cut off answers again, or would.

use super::{
    Engine,
    loss::{
        CRASH_LIMIT,
        Loss, //
    },
};
use crate::{
    job::{
        Run,
        TaskKey, //
    },
    note::{
        Kind,
        Note, //
    },
    runner::{
        self,
        Runner, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::progress::Silence;

/// What has become of a runner that had fallen silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fate {
    /// It has crashed.
    Crashed,
    /// It has not crashed, or for a known reason.
    Innocent,
}

impl Engine {
    /// Records that the runner of a lost run has fallen silent. Returns false if [`CRASH_LIMIT`] runners of the task have
    /// already.
    pub(super) fn add_silence(&mut self, run: &Run) -> bool {
        let Some(runner) = self.runners.get(run.runner) else {
            return false;
        };
        if self.silences_of(run.task).count() >= usize::from(CRASH_LIMIT) {
            return false;
        }
        let silence = Silence {
            runner: runner.id.clone(),
            incarnation: runner.incarnation,
            host: runner.host.clone(),
        };
        self.silences.push((run.task, silence));
        true
    }

    /// Returns the runners that have fallen silent after they had started a task.
    pub(super) fn silences_of(&self, task: TaskKey) -> impl Iterator<Item = &Silence> {
        let silences = self.silences.iter();
        silences
            .filter(move |(of, _)| *of == task)
            .map(|(_, silence)| silence)
    }

    /// Clears a task of all runners that may have crashed because of it.
    pub(super) fn clear_crashes(&mut self, task: TaskKey) {
        self.silences.retain(|(of, _)| *of != task);
        let active = self.jobs.get_mut(task.job_key);
        let state =
            active.and_then(|active| active.task_mut(task.occurrence, task.step, task.index));
        if let Some(state) = state.filter(|state| state.crashes > 0) {
            state.crashes = 0;
            state.paused_until = Time::MIN;
            self.mark_dirty(task.job_key);
        }
    }

    /// Restores the silent runners of a task from the log, except for those that are known to have ended.
    pub(super) fn restore_silences(&mut self, task: TaskKey, silences: &[Silence]) {
        for silence in silences {
            let ended = |runner: &Runner| is_followed_by(silence, runner);
            if !self.runners.values().any(ended) {
                self.silences.push((task, silence.clone()));
            }
        }
    }

    /// Handles that an incarnation of a runner has answered.
    pub(super) fn refute_crashes(&mut self, key: runner::Key, now: Time) {
        self.resolve_silences_of(key, Fate::Innocent, "answered", now);
    }

    /// Handles that an incarnation of a runner has ended.
    pub(super) fn settle_crashes(&mut self, key: runner::Key, loss: Loss, now: Time) {
        let fate = match loss {
            Loss::HostOrdered => Fate::Innocent,
            _ => Fate::Crashed,
        };
        self.resolve_silences_of(key, fate, loss.as_str(), now);
    }

    /// Handles that a runner was added, which shows that earlier ones of its name or its host have ended.
    pub(super) fn confirm_crashes(&mut self, key: runner::Key, now: Time) {
        if self.silences.is_empty() {
            return;
        }
        let runner = self.runners[key].clone();
        let ended = |silence: &Silence| is_followed_by(silence, &runner);
        self.resolve_silences(ended, Fate::Crashed, "reborn", now);
    }

    fn resolve_silences_of(
        &mut self,
        key: runner::Key,
        fate: Fate,
        reason: &'static str,
        now: Time,
    ) {
        if self.silences.is_empty() {
            return;
        }
        let runner = &self.runners[key];
        let (id, incarnation) = (runner.id.clone(), runner.incarnation);
        let same = |silence: &Silence| silence.runner == id && silence.incarnation == incarnation;
        self.resolve_silences(same, fate, reason, now);
    }

    /// Resolves the silences that match, now that the fate of their runners is known.
    pub(super) fn resolve_silences(
        &mut self,
        matches: impl Fn(&Silence) -> bool,
        fate: Fate,
        reason: &'static str,
        now: Time,
    ) {
        let resolved = self
            .silences
            .extract_if(.., |(_, silence)| matches(silence));
        for (task, silence) in resolved.collect::<Vec<_>>() {
            let Some(active) = self.jobs.get_mut(task.job_key) else {
                continue;
            };
            let task_id = super::run::task_id(active.job.id, task);
            let Some(state) = active.task_mut(task.occurrence, task.step, task.index) else {
                continue;
            };
            if fate == Fate::Innocent {
                state.crashes = state.crashes.saturating_sub(1);
                if state.crashes < CRASH_LIMIT {
                    state.paused_until = Time::MIN;
                }
            }
            let kind = match fate {
                Fate::Crashed => Kind::CrashConfirmed,
                Fate::Innocent => Kind::CrashRefuted,
            };
            let note = Note::new(kind, reason, now).with_task(task_id, state.attempt);
            self.note(note.with_place(&silence.runner));
            self.mark_dirty(task.job_key);
            self.give_up_crashing(task, now);
        }
    }
}

/// Tells whether a runner shows that one that had fallen silent has ended: it is a later one of the same name or host.
fn is_followed_by(silence: &Silence, runner: &Runner) -> bool {
    let same_host = !silence.host.is_empty() && runner.host == silence.host;
    (runner.id == silence.runner || same_host) && runner.incarnation > silence.incarnation
}
