//! Failures of calls to simulated runners, and what the engine notes of them.

use super::Harness;
use sassafrascrank_base::{
    fault::Cause,
    prelude::*, //
};
use sassafrascrank_schedule::{
    note::{
        Kind,
        Note, //
    },
    order::{
        Envelope, Order,
        report::{
            Answer,
            Failure,
            Fault,
            Report, //
        },
    },
};

/// Calls to a runner that fail without an effect.
pub(crate) struct Planned {
    /// Name of the runner.
    pub(crate) id: &'static str,
    /// Kind of the order.
    pub(crate) call: &'static str,
    /// Number of calls.
    pub(crate) count: usize,
    /// What the caller learns.
    pub(crate) failure: Failure,
    /// What has failed.
    pub(crate) cause: Cause,
    /// Time until the caller learns it. A runner may hold a poll open, so a poll that takes time fails later by as much.
    pub(crate) after: Duration,
}

/// Starts that are refused without an effect.
#[derive(Clone, Copy)]
pub(crate) struct Refused {
    /// Highest number of an attempt that is refused.
    pub(crate) attempt: u32,
    /// What the caller learns.
    pub(crate) failure: Failure,
    /// Number of refused starts so far.
    pub(crate) count: usize,
}

/// Calls that fail, and reports that have not arrived yet.
#[derive(Default)]
pub(crate) struct Faults {
    /// Calls that fail.
    pub(crate) planned: Vec<Planned>,
    /// Starts that are refused.
    pub(crate) refused: Option<Refused>,
    /// Whether runners hold polls open for as long as they may. The lists are those of the beginning.
    pub(crate) hold_polls: bool,
    /// Kind of the order that is held up on its way, so that it gets no answer.
    pub(crate) hold: Option<&'static str>,
    /// Time until the engine learns that a held order got no answer.
    pub(crate) hold_timeout: Duration,
    /// Orders that are held up, until [`Harness::arrive`].
    pub(super) held: Vec<Envelope<Order>>,
    /// What the engine has noted of lost runners.
    pub(crate) notes: Vec<String>,
    delayed: Vec<(Duration, Envelope<Report>)>,
}

impl Faults {
    /// Returns the failure of an order, if one is planned, and the time until the engine learns it.
    pub(super) fn fail(
        &mut self,
        envelope: &Envelope<Order>,
        sent: Time,
    ) -> Option<(Report, Duration)> {
        let order = envelope.content();
        let (call, target) = match order {
            Order::Start(start) => ("start", &start.target),
            Order::Stop(stop) => ("stop", &stop.target),
            Order::Poll(poll) => ("poll", &poll.target),
            _ => return None,
        };
        let matches =
            |plan: &&mut Planned| plan.count > 0 && plan.call == call && *plan.id == *target.id;
        let (failure, cause, after) = if self.hold == Some(call) {
            self.hold = None;
            self.held.push(envelope.clone());
            (Failure::Unknown, Cause::Timeout, self.hold_timeout)
        } else if let Order::Start(start) = order
            && let Some(refused) = &mut self.refused
            && start.attempt <= refused.attempt
        {
            refused.count += 1;
            (refused.failure, Cause::Status, Duration::ZERO)
        } else {
            let plan = self.planned.iter_mut().find(matches)?;
            plan.count -= 1;
            (plan.failure, plan.cause, plan.after)
        };
        fn failed<T>(sent: Time, failure: Failure, cause: Cause) -> Answer<T> {
            Answer {
                fault: Some(Fault {
                    cause,
                    detail: "the transport's words".into(),
                }),
                sent,
                clock: None,
                result: Err(failure),
            }
        }
        let after = match order {
            Order::Poll(poll) if !after.is_zero() => after + poll.wait,
            _ => after,
        };
        let report = match order {
            Order::Start(start) => Report::Start {
                run: start.run,
                runner: start.target.runner,
                answer: failed(sent, failure, cause),
            },
            Order::Stop(stop) => Report::Stop {
                run: stop.run,
                runner: stop.target.runner,
                answer: failed(sent, failure, cause),
            },
            Order::Poll(poll) => Report::Poll {
                runner: poll.target.runner,
                acknowledged: poll.acknowledged,
                answer: failed(sent, failure, cause),
            },
            _ => return None,
        };
        Some((report, after))
    }

    /// Returns how long the answer to an order takes.
    pub(super) fn hold(&self, order: &Order) -> Duration {
        match order {
            Order::Poll(poll) if self.hold_polls => poll.wait,
            _ => Duration::ZERO,
        }
    }

    /// Lets a report arrive later.
    pub(super) fn delay(&mut self, report: Envelope<Report>, until: Duration) {
        self.delayed.push((until, report));
    }

    /// Returns the reports that arrive by now.
    pub(super) fn due(&mut self, now: Duration) -> Vec<Envelope<Report>> {
        let due = self.delayed.extract_if(.., |(at, _)| *at <= now);
        due.map(|(_, report)| report).collect()
    }

    /// Keeps a line on a note on the loss or the return of a runner.
    pub(super) fn keep(&mut self, note: &Note, now: Duration) {
        if !matches!(note.kind, Kind::RunnerLost | Kind::RunnerBack) {
            return;
        }
        let place = note.place.as_deref().unwrap_or_default();
        let (kind, reason, age) = (note.kind.as_str(), note.reason, note.age.as_millis());
        let age = match &note.miss {
            Some(miss) if !miss.answered => "never".to_owned(),
            _ => format!("{age} ms"),
        };
        let miss = note.miss.as_ref().map(|miss| {
            let fault = miss.fault.as_ref();
            let cause = fault.map_or("", |fault| fault.cause.as_str());
            let detail = fault.map_or("", |fault| &fault.detail);
            format!(", {}: {cause} ({detail})", miss.call)
        });
        let (miss, now) = (miss.unwrap_or_default(), now.as_millis());
        self.notes
            .push(format!("{now:>5} {kind} {reason} {place}, age {age}{miss}"));
    }
}

impl Harness {
    /// Lets the orders that were held up arrive. Their answers are lost.
    pub(crate) fn arrive(&mut self) {
        for order in core::mem::take(&mut self.faults.held) {
            match order.content() {
                Order::Start(start) => drop(self.start(start)),
                Order::Poll(poll) => drop(self.poll(poll)),
                other => panic!("{other:?} can't be held up"),
            }
        }
    }

    /// Reports the result of an order to the engine, at once or after `delay`.
    pub(super) fn deliver(&mut self, report: Envelope<Report>, delay: Duration) {
        if !delay.is_zero() {
            self.faults.delay(report, self.now + delay);
            return;
        }
        self.reports.push(report.clone());
        let now = self.time();
        self.engine.report(report, now);
    }
}
