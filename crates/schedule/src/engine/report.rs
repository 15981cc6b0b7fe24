//! Handling of the results of orders.

use super::{
    Engine,
    loss::Loss, //
};
use crate::{
    job::run::{
        self,
        Stage, //
    },
    note::{
        Kind,
        Note, //
    },
    order::{
        Envelope,
        report::{
            Answer,
            Failure,
            Fault,
            Report, //
        },
    },
    runner::{
        self,
        Runner, //
    },
};
use sassafrascrank_base::prelude::*;

/// Time for which a runner gets no tasks after it refused a start.
const BACK_OFF: Duration = Duration::from_millis(500);

impl Engine {
    /// Handles the result of an order. Drops it if it is on an order of another lead, whose keys stand for other runs,
    /// runners and hosts, and whose rejection says nothing about this lead.
    pub fn report(&mut self, report: Envelope<Report>, now: Time) {
        let report = match report.open(self.epoch) {
            Ok(report) => report,
            Err(outdated) => {
                let order = outdated.content().as_str();
                self.note(Note::new(Kind::ReportOutdated, order, now));
                return;
            }
        };
        match report {
            Report::Start {
                run,
                runner,
                answer,
            } => self.handle_start(run, runner, answer, now),
            Report::Stop {
                run,
                runner,
                answer,
            } => self.handle_stop(run, runner, answer, now),
            Report::Poll {
                runner,
                acknowledged,
                answer,
            } => self.handle_poll(runner, acknowledged, answer, now),
            Report::Pace {
                run,
                percent,
                answer,
            } => self.handle_pace(run, percent, &answer, now),
            Report::Advice { step, approved } => self.handle_advice(step, approved, now),
            Report::Hosts(hosts) => self.handle_host_list(hosts, now),
            Report::Host {
                host,
                number,
                outcome,
            } => self.handle_host_result(host, number, outcome, now),
        }
    }

    /// Returns the answer as none if it is that of another runner at an address that the runner may have left since. The runner
    /// may have got an earlier copy of the order.
    pub(super) fn unknown_if_outdated<T>(
        &self,
        key: runner::Key,
        mut answer: Answer<T>,
    ) -> Answer<T> {
        let left =
            |runner: &Runner| answer.sent < runner.address_changed_at + self.rules.order_limit;
        if matches!(answer.result, Err(Failure::Replaced))
            && self.runners.get(key).is_some_and(left)
        {
            answer.result = Err(Failure::Unknown);
            answer.clock = None;
        }
        answer
    }

    /// Handles the answer to a start that was ordered to `ordered_to`, which may have restarted since.
    fn handle_start(
        &mut self,
        key: run::Key,
        ordered_to: runner::Key,
        answer: Answer<()>,
        now: Time,
    ) {
        let repeats = self
            .runs
            .get(key)
            .is_some_and(|run| self.repeats_start(run));
        let answer = self.unknown_if_outdated(ordered_to, answer);
        let limit = self.runs.get(key).and_then(|run| self.start_limit(run));
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        match &answer.result {
            Err(Failure::Unknown) => {
                let late = |limit| answer.sent + limit;
                run.starts.fail(limit.map_or(Time::MIN, late));
            }
            _ => run.starts.settle(),
        }
        let runner_key = run.runner;
        let task = run.task;
        let stopping = run.stage == Stage::Stopping;
        let restarted = runner_key != ordered_to;
        // The clock may be that of an earlier incarnation.
        let clock = answer.clock.filter(|_| !restarted);
        match answer.result {
            Ok(()) => {
                run.started = Some(now);
                run.doubt = None;
                if !stopping {
                    run.stage = Stage::Running;
                    run.answered_at = Some(now);
                }
                let run = run.clone();
                if let Some(runner) = self.runners.get_mut(runner_key) {
                    runner.alive_at = runner.alive_at.max(answer.sent);
                }
                self.mark_begun(task.job_key, runner_key, "start-answered", now);
                self.note_run(Kind::Started, "answered", &run, now);
                self.read_clock(runner_key, clock, now);
                self.poll_soon(runner_key, now);
            }
            Err(Failure::Fenced) if !restarted => self.superseded = true,
            // The later incarnation rejects this copy. An earlier one that got no answer may have been carried out.
            Err(Failure::Fenced) if run.listed => {}
            Err(Failure::Fenced) if repeats => self.doubt_start(key, Failure::Fenced, now),
            Err(Failure::Fenced) => {
                let run = run.clone();
                self.note_run(Kind::StartUnknown, "fenced", &run, now);
                self.stop(key, "start-unknown", now);
            }
            // The answer says nothing about the later incarnation, which may have another address.
            Err(Failure::Replaced) if restarted => self.abandon(key, now),
            Err(Failure::Replaced) => self.end_incarnation(runner_key, Loss::Replaced, now),
            Err(Failure::StaleAttempt) if run.doubt.is_some() => {
                // The run has ended; its end is in the answer to a poll.
                self.poll_soon(runner_key, now);
                self.abandon(key, now);
            }
            // Another copy was carried out since.
            Err(failure) if run.stage == Stage::Running && failure != Failure::Unknown => {
                self.poll_soon(runner_key, now);
            }
            // What an earlier copy of the start has done is still unknown, unless all have the same ticket: a run that is there
            // is not refused for it, and no other copy is accepted any more.
            Err(failure) if run.doubt.is_some() && failure != Failure::InvalidTicket => {
                self.doubt_start(key, failure, now);
                self.handle_refused_start(runner_key, failure, answer.fault, now);
            }
            Err(Failure::Unknown) if repeats => {
                self.doubt_start(key, Failure::Unknown, now);
                self.mark_unreachable(runner_key, "start", Failure::Unknown, answer.fault, now);
            }
            Err(Failure::Unknown) => {
                let run = run.clone();
                self.note_run(Kind::StartUnknown, "no-answer", &run, now);
                // The stop prevents the start if that arrives later.
                self.stop(key, "start-unknown", now);
                self.mark_unreachable(runner_key, "start", Failure::Unknown, answer.fault, now);
            }
            Err(failure) => {
                let run = run.clone();
                self.note_run(Kind::StartRefused, failure.as_str(), &run, now);
                self.read_clock(runner_key, clock, now);
                self.abandon(key, now);
                self.handle_refused_start(runner_key, failure, answer.fault, now);
                if failure == Failure::InvalidTicket {
                    self.drop_tickets(task.step());
                }
            }
        }
    }

    /// Updates a runner that refused a start.
    fn handle_refused_start(
        &mut self,
        key: runner::Key,
        failure: Failure,
        fault: Option<Fault>,
        now: Time,
    ) {
        let local = fault.as_ref().is_some_and(|fault| fault.cause.is_local());
        match failure {
            // The failure says nothing about the runner. Starts need a pause, since they would fail again at once.
            Failure::Unsent if local => {
                let pause = self.rules.retry_interval;
                if let Some(runner) = self.runners.get_mut(key) {
                    runner.quarantined_until = runner.quarantined_until.max(now + pause);
                }
            }
            Failure::Unsent => self.mark_unreachable(key, "start", failure, fault, now),
            Failure::Unhealthy | Failure::Rejected | Failure::NoCapacity => {
                if let Some(runner) = self.runners.get_mut(key) {
                    runner.quarantined_until = runner.quarantined_until.max(now + BACK_OFF);
                }
                self.poll_soon(key, now);
            }
            _ => self.poll_soon(key, now),
        }
    }

    fn handle_stop(
        &mut self,
        key: Option<run::Key>,
        runner_key: runner::Key,
        answer: Answer<()>,
        now: Time,
    ) {
        let answer = self.unknown_if_outdated(runner_key, answer);
        self.read_clock(runner_key, answer.clock, now);
        match answer.result {
            Ok(()) => {
                if let Some(run) = key.and_then(|key| self.runs.get_mut(key))
                    && run.runner == runner_key
                {
                    run.answered_at = Some(now);
                }
                self.poll_soon(runner_key, now);
            }
            // The fence of a runner that has restarted since is higher although the leader is the same.
            Err(Failure::Fenced) if self.runners.contains_key(runner_key) => self.superseded = true,
            Err(Failure::Replaced) => self.end_incarnation(runner_key, Loss::Replaced, now),
            // The stop is ordered again, and a poll finds out whether the runner answers at all.
            Err(_) => self.poll_soon(runner_key, now),
        }
    }

    /// Makes the next poll of a runner due soon.
    pub(super) fn poll_soon(&mut self, key: runner::Key, now: Time) {
        let gap = self.rules.poll_gap;
        if let Some(runner) = self.runners.get_mut(key) {
            runner.poll_at = runner.poll_at.min(now + gap);
        }
    }
}
