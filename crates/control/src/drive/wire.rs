//! Messages between a leader and its executors. Structs are stored as arrays, so the order of their fields is part of the
//! format.

use crate::port::CallError;
use core::net::SocketAddr;
use sassafrascrank_base::fault::Cause;
use sassafrascrank_job::{
    Id,
    id::{
        Position,
        Task, //
    },
};
use sassafrascrank_schedule::order::{
    Order,
    report::{
        EndReason,
        Ended,
        Failure,
        Fault,
        Running,
        View, //
    },
};

/// Orders of a leader.
#[derive(Debug, Default)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Batch {
    /// When the leader sent it, in microseconds of its clock.
    pub(super) sent: u64,
    /// Orders with their numbers.
    pub(super) orders: Vec<(u64, Command)>,
    /// Addresses of runners that have left.
    pub(super) closed: Vec<SocketAddr>,
}

/// Answers of an executor. Without results it only shows that the executor is alive.
#[derive(Debug, Default)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Results(pub(super) Vec<(u64, Outcome)>);

/// An order to a runner.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Command {
    /// Name of the runner.
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) fence: u64,
    pub(super) action: Action,
}

#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) enum Action {
    Start {
        run: Run,
        specification: String,
        until: u64,
        checkpoint: Option<String>,
        ticket: Option<String>,
    },
    Stop(Run),
    Poll {
        until: Option<u64>,
        acknowledged: u64,
        wait_ms: u64,
    },
    Pace {
        run: Run,
        percent: u8,
    },
}

/// An attempt of a task: job, occurrence, step, index, and the number of the attempt.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Run(u64, u32, u16, u16, u32);

impl Run {
    fn new(task: Task, attempt: u32) -> Self {
        let Position {
            occurrence,
            step,
            index,
        } = task.position;
        Self(task.job.0, occurrence, step, index, attempt)
    }

    pub(super) fn task(self) -> Task {
        Task {
            job: Id(self.0),
            position: Position {
                occurrence: self.1,
                step: self.2,
                index: self.3,
            },
        }
    }

    pub(super) fn attempt(self) -> u32 {
        self.4
    }
}

/// What a runner answered.
#[derive(Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Outcome {
    /// The runner's clock in milliseconds, if the answer has it.
    pub(super) clock: Option<u64>,
    pub(super) result: Result<WireView, u8>,
}

/// State of a runner; empty in answers to other orders than polls.
#[derive(Debug, Default)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct WireView {
    incarnation: Option<u64>,
    /// Attempt, checkpoint, percentage, load.
    running: Vec<(Run, Option<String>, u8, u64)>,
    /// Number, attempt, reason, checkpoint.
    ended: Vec<(u64, Run, u8, Option<String>)>,
    truncated: bool,
}

/// Failures by their number on the wire.
const FAILURES: [Failure; 10] = [
    Failure::Fenced,
    Failure::StaleAttempt,
    Failure::LeaseExpired,
    Failure::NoCapacity,
    Failure::InvalidTicket,
    Failure::Unhealthy,
    Failure::Rejected,
    Failure::Replaced,
    Failure::Unsent,
    Failure::Unknown,
];

/// Reasons of ends by their number on the wire.
const END_REASONS: [EndReason; 6] = [
    EndReason::Done,
    EndReason::Failed,
    EndReason::Stopped,
    EndReason::LeaseExpired,
    EndReason::GangBroken,
    EndReason::GangIncomplete,
];

fn number_of<T: PartialEq>(all: &[T], value: &T) -> u8 {
    let index = all.iter().position(|other| other == value);
    index.unwrap_or(all.len()) as u8
}

/// First number of an order that was not sent, with the cause as an offset.
const UNSENT_CAUSES: u8 = 64;
/// First number of an order without an answer, with the cause as an offset.
const UNKNOWN_CAUSES: u8 = 128;

/// Returns the number of an error on the wire. The detail of its cause is left out.
pub(super) fn error_number(error: &CallError) -> u8 {
    let cause = error.fault.as_ref().map(|fault| fault.cause);
    match (error.failure, cause) {
        (Failure::Unsent, Some(cause)) => UNSENT_CAUSES + number_of(Cause::ALL, &cause),
        (Failure::Unknown, Some(cause)) => UNKNOWN_CAUSES + number_of(Cause::ALL, &cause),
        (failure, _) => number_of(&FAILURES, &failure),
    }
}

/// Returns the failure with a number on the wire. One that a later version has added says nothing about the effect.
pub(super) fn failure(number: u8) -> Failure {
    let known = FAILURES.get(usize::from(number)).copied();
    match number {
        UNSENT_CAUSES..UNKNOWN_CAUSES => Failure::Unsent,
        _ => known.unwrap_or(Failure::Unknown),
    }
}

/// Returns what has failed, if a number on the wire tells.
pub(super) fn fault(number: u8) -> Option<Fault> {
    let first = match number {
        UNSENT_CAUSES..UNKNOWN_CAUSES => UNSENT_CAUSES,
        _ => UNKNOWN_CAUSES,
    };
    let offset = usize::from(number.checked_sub(first)?);
    Cause::ALL.get(offset).map(|&cause| Fault {
        cause,
        detail: "".into(),
    })
}

/// An order is none for a runner.
#[derive(Debug)]
pub(super) struct NoCommand;

impl TryFrom<&Order> for Command {
    type Error = NoCommand;

    fn try_from(order: &Order) -> Result<Self, NoCommand> {
        let text = |text: &Option<std::sync::Arc<str>>| text.as_deref().map(str::to_owned);
        let (target, action) = match order {
            Order::Start(start) => (
                &start.target,
                Action::Start {
                    run: Run::new(start.task, start.attempt),
                    specification: start.specification.to_string(),
                    until: start.until,
                    checkpoint: text(&start.checkpoint),
                    ticket: text(&start.ticket),
                },
            ),
            Order::Stop(stop) => (
                &stop.target,
                Action::Stop(Run::new(stop.task, stop.attempt)),
            ),
            Order::Poll(poll) => (
                &poll.target,
                Action::Poll {
                    until: poll.until,
                    acknowledged: poll.acknowledged,
                    wait_ms: poll.wait.as_millis() as u64,
                },
            ),
            Order::Pace(pace) => (
                &pace.target,
                Action::Pace {
                    run: Run::new(pace.task, pace.attempt),
                    percent: pace.percent,
                },
            ),
            _ => return Err(NoCommand),
        };
        Ok(Self {
            id: target.id.to_string(),
            address: target.address,
            fence: target.fence,
            action,
        })
    }
}

impl From<View> for WireView {
    fn from(view: View) -> Self {
        let running = view.running.into_iter().map(|run| {
            let checkpoint = run.checkpoint.as_deref().map(str::to_owned);
            let attempt = Run::new(run.task, run.attempt);
            (attempt, checkpoint, run.percent, run.load)
        });
        let ended = view.ended.into_iter().map(|end| {
            let checkpoint = end.checkpoint.as_deref().map(str::to_owned);
            let reason = number_of(&END_REASONS, &end.reason);
            (
                end.number,
                Run::new(end.task, end.attempt),
                reason,
                checkpoint,
            )
        });
        Self {
            incarnation: view.incarnation,
            running: running.collect(),
            ended: ended.collect(),
            truncated: view.truncated,
        }
    }
}

/// An executor sent an end whose reason is unknown.
#[derive(Debug)]
pub(super) struct UnknownReason;

impl TryFrom<WireView> for View {
    type Error = UnknownReason;

    fn try_from(wire: WireView) -> Result<Self, UnknownReason> {
        let running = wire.running.into_iter();
        let running = running.map(|(run, checkpoint, percent, load)| Running {
            task: run.task(),
            attempt: run.attempt(),
            checkpoint: checkpoint.map(Into::into),
            percent,
            load,
        });
        let ended = wire
            .ended
            .into_iter()
            .map(|(number, run, reason, checkpoint)| {
                let reason = END_REASONS.get(usize::from(reason)).ok_or(UnknownReason)?;
                Ok(Ended {
                    number,
                    task: run.task(),
                    attempt: run.attempt(),
                    reason: *reason,
                    checkpoint: checkpoint.map(Into::into),
                })
            });
        Ok(Self {
            incarnation: wire.incarnation,
            running: running.collect(),
            ended: ended.collect::<Result<_, _>>()?,
            truncated: wire.truncated,
        })
    }
}
