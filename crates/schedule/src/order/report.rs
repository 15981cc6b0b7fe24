//! What came of an order.

use crate::{
    fleet::host,
    runner,
    work::{
        self,
        run, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::id::Task;
use std::sync::Arc;

/// Why an order to a runner was not carried out, or whether that is unknown.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// A later leader has given orders there.
    Fenced,
    /// The runner has seen this attempt or a later one end or stop.
    StaleAttempt,
    /// The lease had ended when the order arrived.
    LeaseExpired,
    /// The runner has no room.
    NoCapacity,
    /// The advice service's approval is missing or has ended.
    InvalidTicket,
    /// The runner is unhealthy or busy and has done nothing.
    Unhealthy,
    /// The runner rejects the order as malformed.
    Rejected,
    /// Another life of the runner answered.
    Replaced,
    /// The order was not sent.
    Unsent,
    /// The order may be carried out, now or later.
    Unknown,
}

impl Failure {
    /// Returns the name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::StaleAttempt => "old",
            Self::LeaseExpired => "late",
            Self::NoCapacity => "room",
            Self::InvalidTicket => "ticket",
            Self::Unhealthy => "unhealthy",
            Self::Rejected => "rejected",
            Self::Replaced => "replaced",
            Self::Unsent => "unsent",
            Self::Unknown => "unknown",
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EndReason {
    /// The task is done.
    Done,
    /// The task or its runner failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// The lease ended.
    LeaseExpired,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not come.
    GangIncomplete,
}

impl EndReason {
    /// Returns the name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::LeaseExpired => "lapsed",
            Self::GangBroken => "broken",
            Self::GangIncomplete => "alone",
        }
    }
}

/// A run that a runner lists.
#[derive(Clone, Debug)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// Its attempt.
    pub attempt: u32,
    /// Its latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// How far it is or at which share it works, in percent.
    pub percent: u8,
    /// Tail of the response times in milliseconds of a serving task, used processor time of others.
    pub load: u64,
}

/// An end that a runner lists.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Number of the end in this life of the runner.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// Its attempt.
    pub attempt: u32,
    /// How it ended.
    pub reason: EndReason,
    /// Its latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// What a runner shows of itself.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Start of this life of the runner.
    pub born: Option<u64>,
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<Ended>,
    /// More ends exist than were listed.
    pub truncated: bool,
}

/// Answer of a runner.
#[derive(Clone, Debug)]
pub struct Answer<T> {
    /// When the order was sent.
    pub sent: Time,
    /// The runner's clock in milliseconds, if the answer showed it.
    pub clock: Option<u64>,
    /// What was answered.
    pub result: Result<T, Failure>,
}

/// Runners that may run a step.
#[derive(Clone, Debug)]
pub struct Approval {
    /// Identity of each runner, and its ticket.
    pub tickets: Vec<(Arc<str>, Arc<str>)>,
    /// How long the tickets are valid.
    pub valid: Duration,
}

/// What came of an order.
#[derive(Clone, Debug)]
pub enum Report {
    /// Of a start.
    Start {
        /// The run.
        run: run::Key,
        /// The answer.
        answer: Answer<()>,
    },
    /// Of a stop.
    Stop {
        /// The run.
        run: Option<run::Key>,
        /// The runner.
        runner: runner::Key,
        /// The answer.
        answer: Answer<()>,
    },
    /// Of a look.
    Poll {
        /// The runner.
        runner: runner::Key,
        /// Ends up to this number were acknowledged with it.
        acknowledged: u64,
        /// The answer.
        answer: Answer<View>,
    },
    /// Of a change of pace.
    Pace {
        /// The run.
        run: run::Key,
        /// The share that was asked for.
        percent: u8,
        /// The answer.
        answer: Answer<()>,
    },
    /// Of a question to the advice service; `None` if it did not answer.
    Advice {
        /// The step.
        step: work::StepKey,
        /// Runners that may run the step, with their tickets, and how long these are valid.
        approved: Option<Approval>,
    },
    /// The hosts, or `None` if they can't be had.
    Hosts(Option<Vec<host::Listed>>),
    /// Of an order to a host.
    Host {
        /// The host.
        host: host::Key,
        /// Number of the order.
        number: u32,
        /// What came of it.
        outcome: host::Outcome,
    },
}
