//! Result of an order.

use crate::{
    fleet::host,
    job::{
        self,
        run, //
    },
    runner,
};
use sassafrascrank_base::{
    fault::Cause,
    prelude::*, //
};
use sassafrascrank_job::id::Task;
use std::sync::Arc;

/// Why an order to a runner failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// The runner has an order of a later leader.
    Fenced,
    /// The runner has already seen this attempt or a later one end or stop.
    StaleAttempt,
    /// The lease had ended when the order arrived.
    LeaseExpired,
    /// The runner lacks free capacity.
    NoCapacity,
    /// The ticket of the advice service is missing or has expired.
    InvalidTicket,
    /// The runner is unhealthy or busy and has done nothing.
    Unhealthy,
    /// The runner rejects the order as malformed.
    Rejected,
    /// Another incarnation of the runner answered.
    Replaced,
    /// The order was not sent.
    Unsent,
    /// No answer arrived; the order may have been carried out, or may yet be.
    Unknown,
}

impl Failure {
    /// Returns the failure of an order of which an earlier copy may have been carried out, or may yet be. Most failures of
    /// the later copy say nothing about the earlier one.
    pub const fn of_repeat(self) -> Self {
        match self {
            Self::Fenced | Self::Replaced => self,
            _ => Self::Unknown,
        }
    }

    /// Returns the name for logs.
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

/// What has failed in an order without an answer, or with an unusable one. Only logs and pauses depend on it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// What has failed.
    pub cause: Cause,
    /// Description by the transport, of bounded length; empty if another entry has sent the order.
    pub detail: Arc<str>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EndReason {
    /// The task is done.
    Done,
    /// The task or its runner failed.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The lease ended.
    LeaseExpired,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not start.
    GangIncomplete,
}

impl EndReason {
    /// Returns the name for logs.
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

/// A run that is alive on a runner.
#[derive(Clone, Debug)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub attempt: u32,
    /// Latest checkpoint of the task.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent; for a long-running task the share at which it works.
    pub percent: u8,
    /// Tail latency in milliseconds for a serving task, used processor time for others.
    pub load: u64,
}

/// The end of a run, as its runner reports it.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Number of the end within this incarnation of the runner.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub attempt: u32,
    /// How it ended.
    pub reason: EndReason,
    /// Latest checkpoint of the task.
    pub checkpoint: Option<Arc<str>>,
}

/// State of a runner, as it answers a poll.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Start of this incarnation of the runner, in Unix milliseconds.
    pub incarnation: Option<u64>,
    /// Runs that are alive.
    pub running: Vec<Running>,
    /// Ends that were not acknowledged yet.
    pub ended: Vec<Ended>,
    /// Whether the runner may have more ends than are listed.
    pub truncated: bool,
}

/// Answer of a runner to an order.
#[derive(Clone, Debug)]
pub struct Answer<T> {
    /// When the order was sent.
    pub sent: Time,
    /// The runner's clock in milliseconds, if the answer has it.
    pub clock: Option<u64>,
    /// What the runner answered.
    pub result: Result<T, Failure>,
    /// What has failed, if that is known.
    pub fault: Option<Fault>,
}

/// Approval of runners for a step by the advice service.
#[derive(Clone, Debug)]
pub struct Approval {
    /// Name of each approved runner, and its ticket.
    pub tickets: Vec<(Arc<str>, Arc<str>)>,
    /// How long the tickets are valid.
    pub valid: Duration,
}

/// Result of an order.
#[derive(Clone, Debug)]
pub enum Report {
    /// Result of a start.
    Start {
        /// Key of the run.
        run: run::Key,
        /// The runner.
        runner: runner::Key,
        /// The answer.
        answer: Answer<()>,
    },
    /// Result of a stop.
    Stop {
        /// Key of the run.
        run: Option<run::Key>,
        /// The runner.
        runner: runner::Key,
        /// The answer.
        answer: Answer<()>,
    },
    /// Result of a poll.
    Poll {
        /// The runner.
        runner: runner::Key,
        /// Ends up to this number were acknowledged by the poll.
        acknowledged: u64,
        /// The answer.
        answer: Answer<View>,
    },
    /// Result of a change of a task's share.
    Pace {
        /// Key of the run.
        run: run::Key,
        /// The share in percent that was ordered.
        percent: u8,
        /// The answer.
        answer: Answer<()>,
    },
    /// Answer of the advice service.
    Advice {
        /// The step.
        step: job::StepKey,
        /// Runners that may run the step; `None` if the service did not answer.
        approved: Option<Approval>,
    },
    /// All hosts, or `None` if the host service did not answer.
    Hosts(Option<Vec<host::Listed>>),
    /// Result of an order to a host.
    Host {
        /// Key of the host.
        host: host::Key,
        /// Number of the order.
        number: u32,
        /// The result.
        outcome: host::Outcome,
    },
}

impl Report {
    /// Returns the name of the kind of order for logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Stop { .. } => "stop",
            Self::Poll { .. } => "poll",
            Self::Pace { .. } => "pace",
            Self::Advice { .. } => "advice",
            Self::Hosts(_) => "hosts",
            Self::Host { .. } => "host",
        }
    }
}
