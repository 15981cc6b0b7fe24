//! State of an admitted request.

use super::Arrival;
use sassafrascrank_base::prelude::*;
use sassafrascrank_queue::Grant;

/// An admitted request and its stage.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket {
    pub(super) arrival: Arrival,
    /// Whether its contract allowed other availability zones when it arrived.
    pub(super) spill: bool,
    /// Number of attempts that have ended without an answer.
    pub(super) failed: u32,
    /// Upstream of the last failed attempt.
    pub(super) avoid: Option<upstream::Key>,
    /// Refusal for the caller if no further attempt can be made.
    pub(super) fallback: Refusal,
    pub(super) stage: Stage,
}

impl Ticket {
    /// Returns the refusal for the caller of a request that ends with `refusal`.
    ///
    /// Once an attempt may have run, the request can no longer be reported as "not run".
    pub(super) fn refusal(&self, refusal: Refusal) -> Refusal {
        match self.fallback.outcome {
            Outcome::Unknown => self.fallback,
            Outcome::Answered | Outcome::NotRun => refusal,
        }
    }

    /// Returns the time at which an attempt that starts now is abandoned.
    ///
    /// A request that may run only once is not abandoned at its caller's deadline, so that a repeated request with
    /// the same idempotency key gets the answer.
    pub(super) fn attempt_end(&self, now: Time, attempt_timeout: Duration) -> Time {
        let until = now + attempt_timeout;
        match self.arrival.idempotent {
            true => until.min(self.arrival.deadline),
            false => until,
        }
    }
}

/// Stage of an admitted request.
#[derive(Clone, Copy, Debug)]
pub(super) enum Stage {
    /// In the queue of its pool.
    Queued,
    /// At an upstream.
    Running {
        upstream: upstream::Key,
        grant: Grant,
        since: Time,
    },
    /// Waiting for its retry.
    Backoff,
}
