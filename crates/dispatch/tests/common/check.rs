//! Invariants of the random schedules; every failure names the invariant and the seed.

use super::config::ATTEMPT_TIMEOUT;
use sassafrascrank_base::prelude::*;
use sassafrascrank_dispatch::{
    Arrival,
    Snapshot,
    engine::Load, //
};
use sassafrascrank_route::{
    AttemptResult,
    DrainSource,
    Status, //
};
use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};

/// Maximum number of retries that a budget of the `retry` crate saves up.
const SAVED_RETRIES: u32 = 10;

struct Request {
    arrival: Arrival,
    running: Option<upstream::Key>,
    attempts: u32,
    may_have_run: bool,
    last: Option<AttemptResult>,
}

#[derive(Default)]
/// Use of one customer's contract.
struct Usage {
    since: Time,
    admitted: u32,
    retries: u32,
}

pub(crate) struct Check {
    /// Live entries that share the contracts.
    pub(crate) entries: u32,
    /// How often each event occurred.
    pub(crate) counts: BTreeMap<String, u64>,
    seed: u64,
    /// Requests that have not ended.
    open: HashMap<caller::Handle, Request>,
    /// Callers of all admitted requests in order of arrival.
    order: Vec<caller::Handle>,
    drained: HashSet<upstream::Key>,
    /// Upstreams that got a request since the last check of the partition.
    forwarded_to: HashSet<upstream::Key>,
    usage: HashMap<customer::Key, Usage>,
}

impl Check {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            entries: 1,
            counts: BTreeMap::new(),
            seed,
            open: HashMap::new(),
            order: Vec::new(),
            drained: HashSet::new(),
            forwarded_to: HashSet::new(),
            usage: HashMap::new(),
        }
    }

    pub(crate) fn count(&mut self, what: &str) {
        *self.counts.entry(what.to_owned()).or_default() += 1;
    }

    #[track_caller]
    fn require(&self, invariant: &str, holds: bool, what: impl core::fmt::Debug) {
        assert!(holds, "{invariant}: seed {}: {what:?}", self.seed);
    }

    pub(crate) fn arrived(&mut self, now: Time, arrival: Arrival, result: Result<(), Refusal>) {
        if let Err(refusal) = result {
            self.require("true-not-run", refusal.outcome == Outcome::NotRun, refusal);
            return self.count(&format!("refused at once: {}", refusal.reason));
        }
        self.count("admitted");
        let usage = self.usage.entry(arrival.customer).or_default();
        if usage.admitted == 0 {
            usage.since = now;
        }
        usage.admitted += 1;
        let request = Request {
            arrival,
            running: None,
            attempts: 0,
            may_have_run: false,
            last: None,
        };
        self.open.insert(arrival.caller, request);
        self.order.push(arrival.caller);
    }

    pub(crate) fn refused(&mut self, _now: Time, caller: caller::Handle, refusal: Refusal) {
        let request = self.open.remove(&caller);
        self.require("one-end", request.is_some(), (caller, refusal));
        let Some(request) = request else { return };
        self.require(
            "one-end",
            request.running.is_none(),
            "refused while it runs",
        );
        let truthful = refusal.outcome != Outcome::NotRun || !request.may_have_run;
        self.require("true-not-run", truthful, refusal);
        self.count(&format!("refused: {} {}", refusal.outcome, refusal.reason));
    }

    pub(crate) fn forwarded(
        &mut self,
        now: Time,
        caller: caller::Handle,
        upstream: upstream::Key,
        retry: u32,
        snapshot: &Snapshot,
    ) {
        self.require("drain", !self.drained.contains(&upstream), upstream);
        self.forwarded_to.insert(upstream);
        let Some(request) = self.open.get_mut(&caller) else {
            return self.require("one-end", false, "forwarded after its end");
        };
        let arrival = request.arrival;
        let again = request.running.is_some() || (request.may_have_run && !arrival.idempotent);
        let counted = retry == request.attempts;
        let free = retry == 1 && request.last == Some(AttemptResult::Stale);
        request.running = Some(upstream);
        request.attempts += 1;
        self.require("at-most-once", !again, caller);
        self.require("retry-count", counted, retry);
        self.count(match (retry, free) {
            (0, _) => "first attempts",
            (_, true) => "immediate retries",
            _ => "delayed retries",
        });
        self.check_contract(now, arrival, retry > 0 && !free, snapshot);
    }

    /// Checks rate, retry budget and concurrency of a customer whose request was forwarded.
    fn check_contract(&mut self, now: Time, arrival: Arrival, charged: bool, snapshot: &Snapshot) {
        let (key, pool_key) = (arrival.customer, arrival.pool);
        let usage = self.usage.entry(key).or_default();
        usage.retries += u32::from(charged);
        let (admitted, retries, since) = (usage.admitted, usage.retries, usage.since);
        let Some(customer) = snapshot
            .customers
            .iter()
            .find(|customer| customer.key == key)
        else {
            return self.require("config", false, "customer without a contract was served");
        };
        let covered = customer.shares.iter().any(|(pool, _)| *pool == pool_key);
        self.require("config", covered, "served in a pool without a share");
        let contract = &customer.contract;
        let saved = SAVED_RETRIES * 100 + admitted * contract.retry_percent;
        self.require("retry-budget", retries * 100 <= saved, (admitted, retries));
        let gained = now.since(since).as_micros() * u128::from(contract.rate.per_second);
        let tokens = gained / 1_000_000 + u128::from(contract.rate.burst) + 1;
        let used = u128::from(admitted + retries);
        self.require("rate", used <= tokens, (used, tokens));
        let running = self
            .open
            .values()
            .filter(|it| it.running.is_some() && it.arrival.customer == key);
        let limit = contract
            .concurrency
            .map(|limit| limit.div_ceil(self.entries));
        let running = running.count();
        let within = limit.is_none_or(|limit| running <= limit as usize);
        self.require("concurrency", within, (running, limit));
    }

    /// Records the end of an attempt; returns whether its request has not ended before.
    pub(crate) fn finished(
        &mut self,
        _now: Time,
        caller: caller::Handle,
        result: AttemptResult,
    ) -> bool {
        let Some(request) = self.open.get_mut(&caller) else {
            return false;
        };
        request.running = None;
        request.last = Some(result);
        request.may_have_run |=
            !matches!(result, AttemptResult::Stale | AttemptResult::Unreachable);
        let name = match result {
            AttemptResult::Answered(_) => "attempt answered",
            AttemptResult::Failed(_) => "attempt failed",
            AttemptResult::Unreachable => "attempt unreachable",
            AttemptResult::Stale => "attempt stale",
            AttemptResult::Lost => "attempt lost",
            AttemptResult::TimedOut => "attempt timed out",
            AttemptResult::Cancelled => "attempt cancelled",
        };
        if matches!(
            result,
            AttemptResult::Answered(_) | AttemptResult::Failed(_)
        ) {
            self.open.remove(&caller);
        }
        self.count(name);
        true
    }

    /// Removes an open request to be cancelled, counted from the newest one, and returns its caller.
    pub(crate) fn cancel(&mut self, index: usize) -> Option<caller::Handle> {
        let open = self
            .order
            .iter()
            .rev()
            .filter(|caller| self.open.contains_key(caller));
        let open: Vec<_> = open.copied().collect();
        let caller = *open.get(index % open.len().max(1))?;
        let request = self.open.remove(&caller)?;
        self.count(match (request.running, request.attempts) {
            (Some(_), _) => "cancelled while running",
            (None, 0) => "cancelled in the queue",
            (None, _) => "cancelled before a retry",
        });
        Some(caller)
    }

    pub(crate) fn drained(&mut self, upstream: upstream::Key, source: DrainSource, first: bool) {
        self.drained.insert(upstream);
        if first {
            self.count(&format!("drain sign: {source:?}"));
        }
    }

    /// Checks that no upstream that has just got a request runs more requests than its slots for this entry.
    pub(crate) fn check_partition(&mut self, statuses: impl Iterator<Item = Status>) {
        for status in statuses {
            let running = self
                .open
                .values()
                .filter(|it| it.running == Some(status.upstream))
                .count();
            let known = status.running as usize == running;
            self.require("no-leak", known, (running, status));
            let within = status.running <= status.quota;
            self.require(
                "partition",
                within || !self.forwarded_to.contains(&status.upstream),
                status,
            );
        }
        self.forwarded_to.clear();
    }

    pub(crate) fn check_waits(&self, now: Time) {
        for request in self.open.values() {
            let latest = request.arrival.deadline + ATTEMPT_TIMEOUT;
            self.require("bounded-wait", now <= latest, (now, request.arrival));
        }
    }

    pub(crate) fn check_idle(
        &self,
        pending: usize,
        loads: impl Iterator<Item = (pool::Key, Load)>,
        statuses: impl Iterator<Item = Status>,
    ) {
        self.require("one-end", self.open.is_empty(), self.open.len());
        self.require("no-leak", pending == 0, pending);
        for (_, load) in loads {
            self.require("no-leak", load.running == 0 && load.queued == 0, load);
        }
        for status in statuses {
            self.require("no-leak", status.running == 0, status);
        }
    }
}
