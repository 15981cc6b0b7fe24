//! What follows an attempt that brought no answer.

use super::{
    Decision,
    Engine,
    ticket::Stage, //
};
use core::cmp::Reverse;
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::AttemptResult;

/// Multiplier and increment of the generator of jitter, from Knuth's MMIX.
const RANDOM_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const RANDOM_INCREMENT: u64 = 1_442_695_040_888_963_407;

/// Meaning of a failed attempt for its request.
#[derive(Clone, Copy)]
enum Failure {
    /// The request was not sent.
    Unsent(Reason),
    /// The request may have run.
    Sent(Reason),
}

impl Failure {
    fn new(report: AttemptResult) -> Option<Self> {
        match report {
            AttemptResult::Answered(_) | AttemptResult::Failed(_) | AttemptResult::Cancelled => {
                None
            }
            AttemptResult::Unreachable | AttemptResult::Stale => {
                Some(Self::Unsent(Reason::ConnectFailed))
            }
            AttemptResult::Lost => Some(Self::Sent(Reason::ConnectionLost)),
            AttemptResult::TimedOut => Some(Self::Sent(Reason::AttemptTimeout)),
        }
    }
}

impl Engine {
    pub(super) fn after_attempt(
        &mut self,
        now: Time,
        key: ticket::Key,
        upstream: upstream::Key,
        report: AttemptResult,
    ) {
        let Some(failure) = Failure::new(report) else {
            self.forget(now, key);
            return;
        };
        let retry_after = self.limit.retry_after;
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        ticket.failed += 1;
        ticket.avoid = Some(upstream);
        ticket.stage = Stage::Backoff;
        match failure {
            Failure::Sent(reason) => ticket.fallback = Refusal::unknown(reason),
            // An earlier attempt that may have run decides on what can be said.
            Failure::Unsent(reason) => {
                let unsent = Refusal::not_run(reason).with_retry_after(retry_after);
                ticket.fallback = ticket.refusal(unsent);
            }
        }
        let retryable = ticket.arrival.idempotent || matches!(failure, Failure::Unsent(_));
        let failed = ticket.failed;
        // An idle connection that was closed says nothing about the upstream, so the first retry need not wait.
        let immediate = report == AttemptResult::Stale && failed == 1;
        let allowed = retryable && self.allow_retry(now, key, immediate);
        let at = match allowed {
            true if immediate => now,
            true => now + self.backoff(failed - 1),
            // The refusal is due at once.
            false => now,
        };
        if !allowed && let Some(ticket) = self.tickets.get_mut(key) {
            ticket.failed = self.limit.attempts;
        }
        self.retries.push(Reverse((at, key)));
    }

    /// Queues the retries that are due, and refuses requests that get no further attempt.
    pub(super) fn start_retries(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        while let Some(&Reverse((at, key))) = self.retries.peek()
            && at <= now
        {
            self.retries.pop();
            let Some(&ticket) = self.tickets.get(key) else {
                continue;
            };
            if !matches!(ticket.stage, Stage::Backoff) {
                continue;
            }
            let refusal = match ticket.failed < self.limit.attempts {
                true => self
                    .enqueue(now, key)
                    .err()
                    .map(|refusal| ticket.refusal(refusal)),
                false => Some(ticket.fallback),
            };
            if let Some(refusal) = refusal {
                self.forget(now, key);
                let caller = ticket.arrival.caller;
                decisions.push(Decision::Refuse { caller, refusal });
            }
        }
    }

    /// Charges a retry to the contract; an immediate retry of an unsent request is free of the retry budget.
    fn allow_retry(&mut self, now: Time, key: ticket::Key, immediate: bool) -> bool {
        let Some(&ticket) = self.tickets.get(key) else {
            return false;
        };
        if ticket.failed >= self.limit.attempts || ticket.arrival.deadline <= now {
            return false;
        }
        let Some(customer) = self.customers.get_mut(ticket.arrival.customer) else {
            return false;
        };
        immediate || (customer.budget.spend() && customer.bucket.take(now).is_ok())
    }

    fn backoff(&mut self, retry: u32) -> Duration {
        self.random = self
            .random
            .wrapping_mul(RANDOM_MULTIPLIER)
            .wrapping_add(RANDOM_INCREMENT);
        // The high bits of a linear congruential generator are its better ones.
        self.limit.backoff.delay(retry, self.random >> 16)
    }
}
