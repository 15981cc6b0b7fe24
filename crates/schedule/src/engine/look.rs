//! When to look at a runner, and what follows from what it shows.

use super::Engine;
use crate::{
    note::{
        Kind,
        Note, //
    },
    order::{
        Order, Poll, Stop,
        report::{
            Answer,
            Failure,
            Running,
            View, //
        },
    },
    runner::{
        self,
        Runner, //
    },
    work::{
        TaskKey,
        run::{
            self,
            Stage, //
        },
    },
};
use sassafrascrank_base::prelude::*;

/// Wait of a look while short tasks run, or while runs are being stopped or are in doubt.
const SHORT_WAIT: Duration = Duration::from_millis(300);

impl Engine {
    /// Orders the looks that are due. Leases are renewed only if `may_order`.
    pub(super) fn look(&mut self, may_order: bool, now: Time) {
        let keys: Vec<runner::Key> = self.runners.keys().collect();
        for key in keys {
            let runner = &self.runners[key];
            let needed = runner.listed || !runner.runs.is_empty();
            if runner.looking.is_some() || now < runner.look_at || !needed {
                continue;
            }
            let Some(target) = self.target(key) else {
                continue;
            };
            let wait = self.wait(&self.runners[key]);
            let rules = self.rules;
            let runner = &mut self.runners[key];
            runner.looking = Some(now);
            // Without runs there is no lease to renew. A renewal that gets no answer would put off the time from which
            // the runs count as ended.
            let renews = may_order && !runner.runs.is_empty() && runner.misses == 0;
            let until = match renews {
                true => runner.renew(rules.lease, &rules, now),
                false => None,
            };
            let acknowledged = runner.durable;
            self.orders.push(Order::Poll(Poll {
                target,
                until,
                acknowledged,
                wait,
            }));
        }
    }

    /// Returns how long a look may wait for an end.
    fn wait(&self, runner: &Runner) -> Duration {
        // A runner answers at once as long as it lists ends that are not acknowledged.
        let silent = !runner.fenced || runner.misses > 0 || runner.durable < runner.read;
        if silent || runner.runs.is_empty() {
            return Duration::ZERO;
        }
        // Short tasks show in time how they get on.
        let calm = |run: &run::Key| {
            let run = &self.runs[*run];
            let lasting = self.shape(run.task).is_some_and(|step| step.lasting);
            lasting && matches!(run.stage, Stage::Running | Stage::Planned)
        };
        match runner.runs.iter().all(calm) {
            true => self.rules.look_wait,
            false => SHORT_WAIT.min(self.rules.look_wait),
        }
    }

    /// Takes the answer to a look.
    pub(super) fn take_look(
        &mut self,
        key: runner::Key,
        acknowledged: u64,
        answer: Answer<View>,
        now: Time,
    ) {
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        runner.looking = None;
        runner.look_at = now + self.rules.look_gap;
        self.read_clock(key, answer.clock, now);
        match answer.result {
            Ok(view) => {
                let born = self.runners[key].born;
                if view.born.is_some_and(|shown| shown != born) {
                    self.gone(key, "reborn", now);
                    return;
                }
                self.found(key, now);
                let runner = &mut self.runners[key];
                runner.acknowledged = runner.acknowledged.max(acknowledged);
                runner.looked = answer.sent;
                self.take_view(key, view, answer.clock, answer.sent, now);
                self.schedule_look(key, now);
            }
            Err(Failure::Fenced) => self.deposed = true,
            Err(Failure::Replaced) => self.gone(key, "replaced", now),
            Err(failure) => self.missed(key, failure, now),
        }
    }

    /// Sets when the next look is due after one that was answered.
    fn schedule_look(&mut self, key: runner::Key, now: Time) {
        let rules = self.rules;
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        let pause = if runner.durable < runner.read {
            // The next look follows as soon as the ends are durable; until then it would be answered at once.
            rules.retry
        } else if runner.acknowledged < runner.durable || !runner.runs.is_empty() {
            rules.look_gap
        } else {
            rules.idle_look
        };
        runner.look_at = now + pause;
    }

    /// Takes what a runner shows at `clock`. It was asked at `sent`.
    fn take_view(
        &mut self,
        key: runner::Key,
        view: View,
        clock: Option<u64>,
        sent: Time,
        now: Time,
    ) {
        let truncated = view.truncated;
        let ended: Vec<_> = view
            .ended
            .iter()
            .map(|end| (end.task, end.attempt))
            .collect();
        self.take_ends(key, view.ended, now);
        let mut shown: Vec<run::Key> = Vec::new();
        for row in view.running {
            match self.find_run(key, &row) {
                Some(run) => {
                    shown.push(run);
                    self.take_running(run, row, clock, sent, now);
                }
                None => self.stop_foreign(key, &row, now),
            }
        }
        if truncated {
            return;
        }
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        let gone = |run: &run::Key| {
            let known = &self.runs[*run];
            let settled = match known.stage {
                Stage::Planned | Stage::Ordered => false,
                Stage::Inherited => true,
                Stage::Running | Stage::Stopping => known.settled.is_some_and(|at| at <= sent),
            };
            settled && !shown.contains(run) && !ended.contains(&(known.name, known.attempt))
        };
        let lost: Vec<run::Key> = runner.runs.iter().copied().filter(gone).collect();
        for run in lost {
            self.lose(run, "not-listed", now);
        }
    }

    /// Returns the run that a runner lists.
    fn find_run(&self, key: runner::Key, row: &Running) -> Option<run::Key> {
        let work = *self.work_index.get(&row.task.job)?;
        let position = row.task.position;
        let runs = self.runs_of(TaskKey {
            work,
            occurrence: position.occurrence,
            step: position.step,
            index: position.index,
        });
        runs.into_iter().find(|&run| {
            let run = &self.runs[run];
            run.attempt == row.attempt && run.runner == key
        })
    }

    /// Takes what a runner shows of a run.
    fn take_running(
        &mut self,
        key: run::Key,
        row: Running,
        clock: Option<u64>,
        sent: Time,
        now: Time,
    ) {
        let run = &mut self.runs[key];
        run.load = row.load;
        run.percent = row.percent;
        if let Some(clock) = clock {
            run.progress.see(clock, row.percent);
        }
        let task = run.task;
        let adopted = run.stage == Stage::Inherited;
        if matches!(run.stage, Stage::Inherited | Stage::Ordered) {
            run.stage = Stage::Running;
            if adopted {
                run.adopted = Some(now);
            } else {
                run.started.get_or_insert(now);
            }
            run.settled = Some(sent);
        }
        if row.checkpoint.is_some() {
            self.keep_checkpoint(task, row.checkpoint);
        }
        if adopted {
            let run = self.runs[key].clone();
            self.note_run(Kind::Adopted, "listed", &run, now);
        }
    }

    /// Stops a run that is listed, but that nobody should run.
    fn stop_foreign(&mut self, key: runner::Key, row: &Running, now: Time) {
        let Some(target) = self.target(key) else {
            return;
        };
        let id = target.id.clone();
        let note = Note::new(Kind::Foreign, "unknown-run", now);
        self.note(note.with_task(row.task, row.attempt).with_place(&id));
        self.orders.push(Order::Stop(Stop {
            target,
            run: None,
            task: row.task,
            attempt: row.attempt,
        }));
        // What it takes of the capacity is unknown, so nothing starts beside it.
        if let Some(runner) = self.runners.get_mut(key) {
            runner.quarantine = runner.quarantine.max(now + self.rules.stop_limit);
        }
    }

    /// Takes a runner's clock from an answer.
    pub(super) fn read_clock(&mut self, key: runner::Key, millis: Option<u64>, now: Time) {
        if let Some(millis) = millis
            && let Some(runner) = self.runners.get_mut(key)
        {
            runner.clock = Some(crate::lease::Clock { millis, at: now });
        }
    }

    /// Notes that a runner has answered an order of this leader.
    fn found(&mut self, key: runner::Key, now: Time) {
        let runner = &mut self.runners[key];
        runner.fenced = true;
        if runner.misses > 0 {
            runner.misses = 0;
            let id = runner.id.clone();
            self.note(Note::new(Kind::RunnerBack, "answered", now).with_place(&id));
        }
    }

    /// Notes that a runner did not answer.
    pub(super) fn missed(&mut self, key: runner::Key, failure: Failure, now: Time) {
        let retry = self.rules.retry;
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        runner.misses += 1;
        runner.look_at = now + retry;
        if runner.misses == 1 {
            let id = runner.id.clone();
            let seen = runner.looked > Time::MIN;
            let age = if seen {
                now.since(runner.looked)
            } else {
                Duration::ZERO
            };
            let note = Note::new(Kind::RunnerLost, failure.as_str(), now);
            self.note(note.with_place(&id).with_age(age));
        }
    }
}
