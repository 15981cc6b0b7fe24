//! Polling of runners, and handling of the states that they report.

use super::{
    Engine,
    loss::{
        self,
        Loss, //
    },
};
use crate::{
    job::{
        TaskKey,
        run::{
            self,
            Stage, //
        },
    },
    note::{
        Kind,
        Miss,
        Note, //
    },
    order::{
        Order, Poll, Stop,
        report::{
            Answer,
            EndReason,
            Failure,
            Fault,
            Running,
            View, //
        },
    },
    runner::{
        self,
        Runner, //
    },
};
use sassafrascrank_base::prelude::*;

/// Longest time that a runner holds a poll open while it runs short tasks, or while its runs are being stopped or are
/// in doubt.
const SHORT_WAIT: Duration = Duration::from_millis(300);

impl Engine {
    /// Orders the polls that are due. They renew leases only if `may_order`.
    pub(super) fn poll_runners(&mut self, may_order: bool, now: Time) {
        let keys: Vec<runner::Key> = self.runners.keys().collect();
        for key in keys {
            let runner = &self.runners[key];
            let needed = runner.listed || !runner.runs.is_empty() || runner.is_contact_due();
            if runner.poll_sent.is_some() || now < runner.poll_at || !needed {
                continue;
            }
            let Some(target) = self.target(key) else {
                continue;
            };
            let wait = self.poll_wait(&self.runners[key], now);
            let rules = self.rules;
            let runner = &mut self.runners[key];
            runner.poll_sent = Some(now);
            // A lease is asked for only for runs that the log has, so that a later leader knows of it. A renewal for a runner
            // that does not answer would postpone the time from which its runs count as ended.
            let is_stored = |run: &run::Key| self.runs[*run].stage != Stage::Planned;
            let renews = may_order && runner.misses == 0 && runner.runs.iter().any(is_stored);
            let until = match renews {
                true => runner.renew_lease(rules.lease, &rules, now),
                false => None,
            };
            runner.renewal = until.map(|_| now + rules.lease);
            // The first lease of a run is short. A poll that should renew it is not held open, so that its loss is noticed
            // while there is time for another one.
            let ends_soon = until.is_some() && runner.renewed_until < now + rules.poll_wait;
            let wait = match ends_soon {
                true => Duration::ZERO,
                false => wait,
            };
            // A later incarnation, which numbers its ends anew, may get the poll. Ends are named only until an answer shows
            // that they were acknowledged, and not while the runner may have restarted, so that it doesn't forget ends that
            // were not handled.
            let unacknowledged = runner.acknowledged < runner.durable_end;
            let acknowledged = match unacknowledged && runner.misses == 0 {
                true => runner.durable_end,
                false => 0,
            };
            self.orders.push(Order::Poll(Poll {
                target,
                until,
                acknowledged,
                wait,
            }));
        }
    }

    /// Returns how long a runner may hold a poll open until a run ends.
    fn poll_wait(&self, runner: &Runner, now: Time) -> Duration {
        // A runner answers at once while it has ends that were not acknowledged.
        let answers_at_once =
            !runner.fenced || runner.misses > 0 || runner.durable_end < runner.last_end;
        if answers_at_once || runner.runs.is_empty() {
            return Duration::ZERO;
        }
        // Short tasks report their progress more often.
        let is_quiet = |run: &run::Key| {
            let run = &self.runs[*run];
            let long_running = self
                .step_spec(run.task)
                .is_some_and(|step| step.long_running);
            long_running && run.stage == Stage::Running
        };
        let wait = match runner.runs.iter().all(is_quiet) {
            true => self.rules.poll_wait,
            false => SHORT_WAIT.min(self.rules.poll_wait),
        };
        let trials = runner.runs.iter().map(|&run| &self.runs[run]);
        let trials = trials.filter_map(|run| loss::trial_time_left(run, runner, now));
        trials.fold(wait, Duration::min)
    }

    /// Handles the answer to a poll.
    pub(super) fn handle_poll(
        &mut self,
        key: runner::Key,
        acknowledged: u64,
        answer: Answer<View>,
        now: Time,
    ) {
        let answer = self.unknown_if_outdated(key, answer);
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        runner.poll_sent = None;
        let renewal = runner.renewal.take();
        runner.poll_at = now + self.rules.poll_gap;
        self.read_clock(key, answer.clock, now);
        match answer.result {
            Ok(view) => {
                let incarnation = self.runners[key].incarnation;
                if let Some(shown) = view.incarnation
                    && shown != incarnation
                {
                    self.replace_incarnation(key, shown, answer.clock, now);
                    return;
                }
                self.mark_reachable(key, now);
                let runner = &mut self.runners[key];
                runner.acknowledged = runner.acknowledged.max(acknowledged);
                runner.last_poll = answer.sent;
                runner.renewed_until = runner.renewed_until.max(renewal.unwrap_or(Time::MIN));
                runner.alive_at = runner.alive_at.max(answer.sent);
                let id = runner.id.clone();
                self.handle_view(key, view, answer.clock, answer.sent, now);
                self.void_starts_at(&id, incarnation);
                self.schedule_next_poll(key, now);
            }
            Err(Failure::Fenced) => self.superseded = true,
            Err(Failure::Replaced) => self.end_incarnation(key, Loss::Replaced, now),
            Err(failure) => {
                let fault = answer.fault;
                self.mark_unreachable(key, "poll", failure, fault, now);
            }
        }
    }

    /// Sets when the next poll is due after one that was answered.
    fn schedule_next_poll(&mut self, key: runner::Key, now: Time) {
        let rules = self.rules;
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        let pause = if runner.durable_end < runner.last_end {
            // The next poll follows as soon as the ends are in the log; before that it would be answered at once.
            rules.retry_interval
        } else if runner.acknowledged < runner.durable_end || !runner.runs.is_empty() {
            rules.poll_gap
        } else {
            rules.idle_poll_interval
        };
        runner.poll_at = now + pause;
    }

    /// Handles the state that a runner reported at `clock` in answer to a poll sent at `sent`.
    fn handle_view(
        &mut self,
        key: runner::Key,
        view: View,
        clock: Option<u64>,
        sent: Time,
        now: Time,
    ) {
        let truncated = view.truncated;
        let names_incarnation = view.incarnation.is_some();
        let running = view.running.iter().map(|run| (run.task.job, "run-listed"));
        // The platform does not say whether the stop of a run that never started is listed as an end.
        let ended = view
            .ended
            .iter()
            .filter(|end| end.reason != EndReason::Stopped)
            .map(|end| (end.task.job, "end-listed"));
        for (job, evidence) in running.chain(ended) {
            if let Some(&job_key) = self.job_index.get(&job) {
                self.mark_begun(job_key, key, evidence, now);
            }
        }
        let ended: Vec<_> = view
            .ended
            .iter()
            .map(|end| (end.task, end.attempt))
            .collect();
        if !ended.is_empty() {
            self.runners[key].ended_at = now;
        }
        self.handle_ends(key, view.ended, now);
        let mut listed: Vec<run::Key> = Vec::new();
        for row in view.running {
            let known = self.find_run(key, &row);
            match known.or_else(|| self.take_over_run(key, &row, now)) {
                Some(run) => {
                    listed.push(run);
                    if names_incarnation {
                        self.confirm_incarnation(run);
                    }
                    self.handle_running(run, row, clock, sent, now);
                }
                None => self.stop_unknown_run(key, &row, now),
            }
        }
        self.observe_latencies(key, now);
        if truncated {
            return;
        }
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        let is_missing = |run: &run::Key| {
            let known = &self.runs[*run];
            // The answer shows that this incarnation rejects all starts that were sent to earlier ones.
            let outdated = known.moved && known.starts.are_outdated();
            let should_be_listed = match known.stage {
                Stage::Planned => false,
                Stage::Ordered | Stage::Stopping if outdated => true,
                Stage::Ordered => false,
                Stage::Inherited => true,
                Stage::Running | Stage::Stopping => known.answered_at.is_some_and(|at| at <= sent),
            };
            should_be_listed
                && !listed.contains(run)
                && !ended.contains(&(known.task_id, known.attempt))
        };
        let lost: Vec<run::Key> = runner.runs.iter().copied().filter(is_missing).collect();
        for run in lost {
            self.lose(run, Loss::NotListed, now);
        }
        self.resolve_doubts(key, &listed, sent, now);
        self.clear_suspects(key);
        self.settle_runs(key, now);
        if let Some(runner) = self.runners.get_mut(key) {
            runner.rack_failed = false;
        }
    }

    /// Records that the present incarnation of its runner has listed a run.
    fn confirm_incarnation(&mut self, key: run::Key) {
        let run = &mut self.runs[key];
        run.listed = true;
        let incarnation = self.runners[run.runner].incarnation;
        if run.incarnation != incarnation {
            run.incarnation = incarnation;
            let job_key = run.task.job_key;
            self.mark_dirty(job_key);
        }
    }

    /// Returns the run that a runner reports, if the engine knows it.
    fn find_run(&self, key: runner::Key, row: &Running) -> Option<run::Key> {
        let job_key = *self.job_index.get(&row.task.job)?;
        let runs = self.runs_of(TaskKey::new(job_key, row.task.position));
        runs.into_iter().find(|&run| {
            let run = &self.runs[run];
            run.attempt == row.attempt && run.runner == key
        })
    }

    /// Handles what a runner reports of a run that is alive.
    fn handle_running(
        &mut self,
        key: run::Key,
        row: Running,
        clock: Option<u64>,
        sent: Time,
        now: Time,
    ) {
        let run = &mut self.runs[key];
        run.starts.list();
        run.load = row.load;
        run.alive_at = run.alive_at.max(sent);
        run.percent = row.percent;
        if let Some(clock) = clock {
            run.progress.record(clock, row.percent);
        }
        let task = run.task;
        let adopted = run.stage == Stage::Inherited;
        if matches!(run.stage, Stage::Inherited | Stage::Ordered) {
            run.stage = Stage::Running;
            run.doubt = None;
            if adopted {
                run.adopted = Some(now);
            } else {
                run.started.get_or_insert(now);
            }
            run.answered_at = Some(sent);
        }
        if row.checkpoint.is_some() {
            self.keep_checkpoint(task, row.checkpoint);
        }
        if adopted {
            let run = self.runs[key].clone();
            self.note_run(Kind::Adopted, "listed", &run, now);
        }
    }

    /// Returns why the engine does not know a run that a runner reports.
    fn foreign_reason(&self, row: &Running) -> &'static str {
        let position = row.task.position;
        let job = self
            .job_index
            .get(&row.task.job)
            .map(|&job| &self.jobs[job]);
        let task = job.and_then(|job| job.task(position.occurrence, position.step, position.index));
        match task {
            Some(task) if row.attempt <= task.attempt => "given-up",
            Some(_) => "later-attempt",
            None => "unknown-run",
        }
    }

    /// Adds a note about a run that a runner reports and the engine does not know.
    pub(super) fn note_foreign(
        &mut self,
        key: runner::Key,
        row: &Running,
        reason: &'static str,
        now: Time,
    ) {
        let runner = &self.runners[key];
        // The age of the incarnation tells a start that arrived late from a run that was given up too early.
        let born = Time::from_millis(runner.incarnation);
        let note = Note::new(Kind::Foreign, reason, now).with_place(&runner.id);
        let note = note.with_task(row.task, row.attempt);
        self.note(note.with_age(now.since(born)));
    }

    /// Stops a run that a runner reports and the engine does not know.
    fn stop_unknown_run(&mut self, key: runner::Key, row: &Running, now: Time) {
        let Some(target) = self.target(key) else {
            return;
        };
        self.note_foreign(key, row, self.foreign_reason(row), now);
        self.orders.push(Order::Stop(Stop {
            target,
            run: None,
            task: row.task,
            attempt: row.attempt,
        }));
        self.charge_stray(key, row, now);
        // Its use of the runner's capacity is unknown, so no task starts there until it has stopped.
        if let Some(runner) = self.runners.get_mut(key) {
            runner.quarantined_until = runner.quarantined_until.max(now + self.rules.stop_limit);
        }
    }

    /// Records a sample of a runner's clock from an answer.
    pub(super) fn read_clock(&mut self, key: runner::Key, clock_ms: Option<u64>, now: Time) {
        if let Some(clock_ms) = clock_ms
            && let Some(runner) = self.runners.get_mut(key)
        {
            runner.clock = Some(crate::lease::ClockSample {
                clock_ms,
                received: now,
            });
        }
    }

    /// Records that a runner has answered an order of this leader.
    fn mark_reachable(&mut self, key: runner::Key, now: Time) {
        let runner = &mut self.runners[key];
        runner.fenced = true;
        if core::mem::take(&mut runner.accepts_earlier_orders) {
            // Such an order may have arrived until now.
            let until = self.rules.granted_lease_expiry(now);
            self.extend_earlier_lease(key, until, now);
        }
        let runner = &mut self.runners[key];
        if runner.misses > 0 {
            runner.misses = 0;
            let (id, left_out) = (runner.id.clone(), now.since(runner.lost_at));
            let note = Note::new(Kind::RunnerBack, "answered", now);
            self.note(note.with_place(&id).with_age(left_out));
        }
        self.refute_crashes(key, now);
    }

    /// Records that a runner did not answer an order of the kind `call`.
    pub(super) fn mark_unreachable(
        &mut self,
        key: runner::Key,
        call: &'static str,
        failure: Failure,
        fault: Option<Fault>,
        now: Time,
    ) {
        let retry_interval = self.rules.retry_interval;
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        runner.misses += 1;
        // A single call may fail although the runner is sound, so the first one is followed by a poll at once.
        runner.poll_at = match runner.misses {
            1 => now,
            2 => now.max(runner.lost_at + retry_interval),
            _ => now + retry_interval,
        };
        if runner.misses == 1 {
            let id = runner.id.clone();
            runner.lost_at = now;
            let answered = runner.last_poll > Time::MIN;
            let age = match answered {
                true => now.since(runner.last_poll),
                false => Duration::ZERO,
            };
            let miss = Miss {
                call,
                fault,
                answered,
            };
            let note = Note::new(Kind::RunnerLost, failure.as_str(), now).with_miss(miss);
            self.note(note.with_place(&id).with_age(age));
        }
    }
}
