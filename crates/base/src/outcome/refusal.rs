//! Outcomes of requests, and the refusal of a request.

use super::Reason;
use core::{
    fmt,
    time::Duration, //
};

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// An upstream answered.
    Answered,
    /// The request was not run and will not be run.
    NotRun,
    /// The request may have run. Repeating it with the same idempotency key never runs it a second time.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// End of a request without an answer of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether the request ran, as far as is certain.
    pub outcome: Outcome,
    /// Why the request was refused.
    pub reason: Reason,
    /// How long the caller should wait before it repeats the request; `None` if waiting does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the refusal of a request that was not run.
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// Creates the refusal of a request that may have run.
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
        }
    }

    /// Sets the time to wait before the request is repeated.
    pub const fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
