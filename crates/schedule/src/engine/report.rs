//! What came of orders.

use super::Engine;
use crate::{
    note::Kind,
    order::report::{
        Answer,
        Failure,
        Report, //
    },
    runner,
    work::run::{
        self,
        Stage, //
    },
};
use sassafrascrank_base::prelude::*;

/// Time for which a runner gets no work after it turned a start away.
const BACK_OFF: Duration = Duration::from_millis(500);

impl Engine {
    /// Takes what came of an order.
    pub fn report(&mut self, report: Report, now: Time) {
        match report {
            Report::Start { run, answer } => self.take_start(run, answer, now),
            Report::Stop {
                run,
                runner,
                answer,
            } => self.take_stop(run, runner, answer, now),
            Report::Poll {
                runner,
                acknowledged,
                answer,
            } => self.take_look(runner, acknowledged, answer, now),
            Report::Pace {
                run,
                percent,
                answer,
            } => self.take_pace(run, percent, &answer),
            Report::Advice { step, approved } => self.take_advice(step, approved, now),
            Report::Hosts(hosts) => self.take_hosts(hosts, now),
            Report::Host {
                host,
                number,
                outcome,
            } => self.take_host(host, number, outcome, now),
        }
    }

    fn take_start(&mut self, key: run::Key, answer: Answer<()>, now: Time) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let place = run.runner;
        let task = run.task;
        let stopping = run.stage == Stage::Stopping;
        match answer.result {
            Ok(()) => {
                run.started = Some(now);
                if !stopping {
                    run.stage = Stage::Running;
                    run.settled = Some(now);
                }
                let run = run.clone();
                self.note_run(Kind::Started, "answered", &run, now);
                self.read_clock(place, answer.clock, now);
                self.look_soon(place, now);
            }
            Err(Failure::Fenced) => self.deposed = true,
            Err(Failure::Replaced) => self.gone(place, "replaced", now),
            Err(Failure::Unknown) => {
                let run = run.clone();
                self.note_run(Kind::StartUnknown, "no-answer", &run, now);
                // A stop makes the start impossible, should it be carried out later.
                self.stop(key, "start-unknown", now);
                self.missed(place, Failure::Unknown, now);
            }
            Err(failure) => {
                let run = run.clone();
                self.note_run(Kind::StartRefused, failure.as_str(), &run, now);
                self.read_clock(place, answer.clock, now);
                self.abandon(key, now);
                self.refused(place, failure, now);
                if failure == Failure::InvalidTicket {
                    self.drop_tickets(task.step());
                }
            }
        }
    }

    /// Draws the consequence for a runner that turned a start away.
    fn refused(&mut self, key: runner::Key, failure: Failure, now: Time) {
        match failure {
            Failure::Unsent => self.missed(key, failure, now),
            Failure::Unhealthy | Failure::Rejected | Failure::NoCapacity => {
                if let Some(runner) = self.runners.get_mut(key) {
                    runner.quarantine = runner.quarantine.max(now + BACK_OFF);
                }
                self.look_soon(key, now);
            }
            _ => self.look_soon(key, now),
        }
    }

    fn take_stop(
        &mut self,
        key: Option<run::Key>,
        place: runner::Key,
        answer: Answer<()>,
        now: Time,
    ) {
        self.read_clock(place, answer.clock, now);
        match answer.result {
            Ok(()) => {
                if let Some(run) = key.and_then(|key| self.runs.get_mut(key)) {
                    run.settled = Some(now);
                }
                self.look_soon(place, now);
            }
            Err(Failure::Fenced) => self.deposed = true,
            Err(Failure::Replaced) => self.gone(place, "replaced", now),
            // The stop is ordered again, and a look shows whether the runner answers at all.
            Err(_) => self.look_soon(place, now),
        }
    }

    /// Makes a look at a runner due.
    pub(super) fn look_soon(&mut self, key: runner::Key, now: Time) {
        let gap = self.rules.look_gap;
        if let Some(runner) = self.runners.get_mut(key) {
            runner.look_at = runner.look_at.min(now + gap);
        }
    }
}
