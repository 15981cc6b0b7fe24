//! Result of each request of the demo.

use core::time::Duration;

/// Part of the demo in which a request began.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// The entries learn service times.
    WarmUp,
    /// Every customer sends quotes.
    Before,
    /// One customer floods the pool with ledger work as well.
    Flood,
    /// The requests that the flood left in the queues run.
    Settling,
    /// Every customer sends quotes.
    After,
    /// One entry shuts down.
    Shutdown,
    /// The load has ended.
    End,
}

impl Phase {
    /// Every phase, in order.
    pub const ALL: &'static [Self] = &[
        Self::WarmUp,
        Self::Before,
        Self::Flood,
        Self::Settling,
        Self::After,
        Self::Shutdown,
        Self::End,
    ];

    /// Returns the name that the table shows.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::WarmUp => "warm-up",
            Self::Before => "before",
            Self::Flood => "flood",
            Self::Settling => "settling",
            Self::After => "after",
            Self::Shutdown => "shutdown",
            Self::End => "end",
        }
    }
}

/// Kind of request; each is an urgency class of the contracts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Work {
    /// Short, with a short deadline.
    Quote,
    /// Long, with a long deadline.
    Ledger,
}

impl Work {
    /// Returns the name of the urgency class.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Quote => "quote",
            Self::Ledger => "ledger",
        }
    }
}

/// Outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete answer of an upstream.
    Answered,
    /// A rejection: the request did not run.
    NotRun,
    /// A rejection or an error: the request may have run.
    Unknown,
    /// The connection broke before a complete answer or rejection.
    Cut,
    /// No entry accepted the connection.
    Unsent,
}

/// One request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// Index of the customer.
    pub customer: usize,
    /// Kind of request.
    pub work: Work,
    /// Part of the demo in which it began.
    pub phase: Phase,
    /// Outcome as its caller saw it.
    pub outcome: Outcome,
    /// Time from the planned start of the request to its outcome.
    pub latency: Duration,
}
