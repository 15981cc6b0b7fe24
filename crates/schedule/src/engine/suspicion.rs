//! Suspected crashes of runners that stopped answering soon after they had started a task.
//!
//! The task starts elsewhere once the lease has ended, whatever has become of the runner. But only crashes count against it
//! for good, and a runner that does not answer may just be cut off.

use super::{
    Engine,
    crash::{
        CRASH_LIMIT,
        SERIES_LIMIT, //
    },
    host::SEND_LIMIT,
    loss::Loss, //
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
use sassafrascrank_job::progress::Suspicion;
use std::sync::Arc;

/// Incarnation of a suspected runner of which it will never be known whether it has crashed. No runner has a later one.
const UNKNOWABLE: u64 = u64::MAX;

/// What a suspicion has turned out to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// The runner has crashed.
    Crashed,
    /// The runner has not crashed, or the leader has ended it by an order to its host.
    Cleared,
}

impl Engine {
    /// Suspects a lost run of having crashed its runner, and returns whether it did. A task has at most [`CRASH_LIMIT`]
    /// suspicions that may yet be resolved.
    pub(super) fn add_suspicion(&mut self, run: &Run) -> bool {
        let Some(runner) = self.runners.get(run.runner) else {
            return false;
        };
        let open = self.suspicions_of(run.task);
        let open = open.filter(|suspicion| suspicion.incarnation != UNKNOWABLE);
        if open.count() >= usize::from(CRASH_LIMIT) {
            return false;
        }
        let suspicion = Suspicion {
            runner: runner.id.clone(),
            incarnation: runner.incarnation,
            host: runner.host.clone(),
        };
        self.suspicions.push((run.task, suspicion));
        true
    }

    /// Suspects a task that a former leader started of having crashed a runner that has ended. How long the run had gone
    /// on is not known, nor will it be.
    pub(super) fn suspect_ended_runner(&mut self, task: TaskKey, runner: &Arc<str>) {
        if self.suspicions_of(task).count() >= usize::from(SERIES_LIMIT) {
            return;
        }
        if let Some(state) = self.task_mut(task) {
            state.crashes = state.crashes.saturating_add(1);
            let suspicion = Suspicion {
                runner: Arc::clone(runner),
                incarnation: UNKNOWABLE,
                host: "".into(),
            };
            self.suspicions.push((task, suspicion));
            self.mark_dirty(task.job_key);
        }
    }

    /// Tells whether a former leader has ordered a host to move or to begin its maintenance, so that an incarnation of its
    /// runner may have ended by that. One that began after the order was sent has not.
    pub(super) fn was_ordered_away(&self, host: &str, incarnation: u64, now: Time) -> bool {
        let effect = self.rules.host_lease + self.rules.move_time;
        let ordered = self.fleet.former_orders.get(host);
        let began = Time::from_millis(incarnation);
        ordered.is_some_and(|&at| now.since(at) < effect && began <= at + SEND_LIMIT)
    }

    /// Returns the suspicions against a task.
    pub(super) fn suspicions_of(&self, task: TaskKey) -> impl Iterator<Item = &Suspicion> {
        let suspicions = self.suspicions.iter();
        suspicions
            .filter(move |(of, _)| *of == task)
            .map(|(_, suspicion)| suspicion)
    }

    /// Clears a task of all crashes, known and suspected ones.
    pub(super) fn clear_crashes(&mut self, task: TaskKey) {
        self.clear_cause(task);
        let state = self.task_mut(task);
        if let Some(state) = state.filter(|state| state.crashes > 0) {
            state.crashes = 0;
            state.paused_until = Time::MIN;
            self.suspicions.retain(|(of, _)| *of != task);
            self.mark_dirty(task.job_key);
        }
    }

    /// Restores the suspicions against a task from the log. Crashes of runners that are known to have ended are certain.
    pub(super) fn restore_suspicions(&mut self, task: TaskKey, suspicions: &[Suspicion]) {
        for suspicion in suspicions {
            let ended = |runner: &Runner| is_followed_by(suspicion, runner);
            if !self.runners.values().any(ended) {
                self.suspicions.push((task, suspicion.clone()));
            }
        }
    }

    /// Handles that an incarnation of a runner has answered.
    pub(super) fn refute_crashes(&mut self, key: runner::Key, now: Time) {
        self.resolve_suspicions_of(key, Verdict::Cleared, "answered", now);
    }

    /// Handles that an incarnation of a runner has ended.
    pub(super) fn settle_crashes(&mut self, key: runner::Key, loss: Loss, now: Time) {
        let verdict = match loss {
            Loss::HostOrdered => Verdict::Cleared,
            _ => Verdict::Crashed,
        };
        self.resolve_suspicions_of(key, verdict, loss.as_str(), now);
    }

    /// Handles that a runner was added, which shows that earlier ones of its name or its host have ended.
    pub(super) fn confirm_crashes(&mut self, key: runner::Key, now: Time) {
        let runner = &self.runners[key];
        let ended = |(_, suspicion): &mut _| is_followed_by(suspicion, runner);
        let resolved = self.suspicions.extract_if(.., ended).collect();
        self.resolve_suspicions(resolved, Verdict::Crashed, "reborn", now);
    }

    /// Resolves the suspicions against tasks whose runners were on a host.
    pub(super) fn resolve_suspicions_on(
        &mut self,
        host: &str,
        verdict: Verdict,
        reason: &'static str,
        now: Time,
    ) {
        let on_host = |(_, suspicion): &mut (_, Suspicion)| *suspicion.host == *host;
        let resolved = self.suspicions.extract_if(.., on_host).collect();
        self.resolve_suspicions(resolved, verdict, reason, now);
    }

    fn resolve_suspicions_of(
        &mut self,
        key: runner::Key,
        verdict: Verdict,
        reason: &'static str,
        now: Time,
    ) {
        let runner = &self.runners[key];
        let same = |(_, suspicion): &mut _| is_against(suspicion, runner);
        let resolved = self.suspicions.extract_if(.., same).collect();
        self.resolve_suspicions(resolved, verdict, reason, now);
    }

    fn resolve_suspicions(
        &mut self,
        resolved: Vec<(TaskKey, Suspicion)>,
        verdict: Verdict,
        reason: &'static str,
        now: Time,
    ) {
        for (task, suspicion) in resolved {
            let Some(active) = self.jobs.get_mut(task.job_key) else {
                continue;
            };
            let task_id = super::run::task_id(active.job.id, task);
            let Some(state) = active.task_mut(task.occurrence, task.step, task.index) else {
                continue;
            };
            let kind = match verdict {
                Verdict::Crashed => Kind::CrashConfirmed,
                Verdict::Cleared => {
                    state.crashes = state.crashes.saturating_sub(1);
                    if state.crashes < CRASH_LIMIT {
                        state.paused_until = Time::MIN;
                    }
                    Kind::CrashRefuted
                }
            };
            let note = Note::new(kind, reason, now).with_task(task_id, state.attempt);
            self.note(note.with_place(&suspicion.runner));
            self.mark_dirty(task.job_key);
            self.give_up_crashing(task, now);
        }
    }
}

/// Tells whether a suspicion is about an incarnation of a runner.
pub(super) fn is_against(suspicion: &Suspicion, runner: &Runner) -> bool {
    suspicion.incarnation == runner.incarnation && suspicion.runner == runner.id
}

/// Tells whether a runner shows that the suspected one has ended: it is a later one of the same name or on the same host.
fn is_followed_by(suspicion: &Suspicion, runner: &Runner) -> bool {
    let same_host = !suspicion.host.is_empty() && runner.host == suspicion.host;
    (runner.id == suspicion.runner || same_host) && runner.incarnation > suspicion.incarnation
}
