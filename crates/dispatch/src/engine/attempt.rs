//! Retry or refusal after a failed attempt.

use super::{
    Decision,
    Engine,
    ticket::Stage, //
};
use core::cmp::Reverse;
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::AttemptResult;

/// Multiplier and increment of the linear congruential generator of backoff jitter, from Knuth's MMIX.
const LCG_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const LCG_INCREMENT: u64 = 1_442_695_040_888_963_407;

/// Whether a failed attempt may have run its request, and the reason to report.
#[derive(Clone, Copy)]
enum Failure {
    /// The request was not sent.
    Unsent(Reason),
    /// The request may have run.
    Sent(Reason),
}

impl Failure {
    fn new(result: AttemptResult) -> Option<Self> {
        match result {
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
        result: AttemptResult,
    ) {
        let Some(failure) = Failure::new(result) else {
            self.remove_ticket(now, key);
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
            // If an earlier attempt may have run, its refusal stays: the request can't be reported as "not run".
            Failure::Unsent(reason) => {
                let unsent = Refusal::not_run(reason).with_retry_after(retry_after);
                ticket.fallback = ticket.refusal(unsent);
            }
        }
        let retryable = ticket.arrival.idempotent || matches!(failure, Failure::Unsent(_));
        let failed = ticket.failed;
        // An idle connection that the upstream closed is no sign of a failure, so the first retry starts at once.
        let immediate = result == AttemptResult::Stale && failed == 1;
        let allowed = retryable && self.charge_retry(now, key, immediate);
        let at = match allowed {
            true if immediate => now,
            true => now + self.backoff(failed - 1),
            // The next poll refuses the request.
            false => now,
        };
        if !allowed && let Some(ticket) = self.tickets.get_mut(key) {
            ticket.failed = self.limit.attempts;
        }
        self.retries.push(Reverse((at, key)));
    }

    /// Queues the requests whose retry is due, and refuses those that get no further attempt.
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
                self.remove_ticket(now, key);
                let caller = ticket.arrival.caller;
                decisions.push(Decision::Refuse { caller, refusal });
            }
        }
    }

    /// Charges a retry to the customer's retry budget and rate limit; returns whether the retry is allowed.
    ///
    /// An immediate retry of a request that was not sent is free.
    fn charge_retry(&mut self, now: Time, key: ticket::Key, immediate: bool) -> bool {
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
        self.jitter_state = self
            .jitter_state
            .wrapping_mul(LCG_MULTIPLIER)
            .wrapping_add(LCG_INCREMENT);
        // The high bits of a linear congruential generator are more random than the low ones.
        self.limit.backoff.delay(retry, self.jitter_state >> 16)
    }
}
