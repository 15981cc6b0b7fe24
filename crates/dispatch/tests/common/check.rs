//! Named invariants; every message carries the seed.

use super::plan::ATTEMPT_TIMEOUT;
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

/// Retries that a budget saves up at most, from the contract of `retry`.
const SAVED: u32 = 10;

struct Request {
    arrival: Arrival,
    running: Option<upstream::Key>,
    attempts: u32,
    may_have_run: bool,
    last: Option<AttemptResult>,
}

#[derive(Default)]
struct Spent {
    since: Time,
    admitted: u32,
    retries: u32,
}

pub(crate) struct Check {
    pub(crate) entries: u32,
    pub(crate) counts: BTreeMap<String, u64>,
    seed: u64,
    open: HashMap<caller::Handle, Request>,
    order: Vec<caller::Handle>,
    drained: HashSet<upstream::Key>,
    granted: HashSet<upstream::Key>,
    spent: HashMap<customer::Key, Spent>,
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
            granted: HashSet::new(),
            spent: HashMap::new(),
        }
    }

    pub(crate) fn count(&mut self, what: &str) {
        *self.counts.entry(what.to_owned()).or_default() += 1;
    }

    #[track_caller]
    fn hold(&self, invariant: &str, holds: bool, what: impl core::fmt::Debug) {
        assert!(holds, "{invariant}: seed {}: {what:?}", self.seed);
    }

    pub(crate) fn arrived(&mut self, now: Time, arrival: Arrival, result: Result<(), Refusal>) {
        if let Err(refusal) = result {
            self.hold("true-not-run", refusal.outcome == Outcome::NotRun, refusal);
            return self.count(&format!("refused at once: {}", refusal.reason));
        }
        self.count("admitted");
        let spent = self.spent.entry(arrival.customer).or_default();
        if spent.admitted == 0 {
            spent.since = now;
        }
        spent.admitted += 1;
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
        self.hold("one-end", request.is_some(), (caller, refusal));
        let Some(request) = request else { return };
        self.hold(
            "one-end",
            request.running.is_none(),
            "refused while it runs",
        );
        let truthful = refusal.outcome != Outcome::NotRun || !request.may_have_run;
        self.hold("true-not-run", truthful, refusal);
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
        self.hold("drain", !self.drained.contains(&upstream), upstream);
        self.granted.insert(upstream);
        let Some(request) = self.open.get_mut(&caller) else {
            return self.hold("one-end", false, "forwarded after its end");
        };
        let arrival = request.arrival;
        let again = request.running.is_some() || (request.may_have_run && !arrival.idempotent);
        let counted = retry == request.attempts;
        let free = retry == 1 && request.last == Some(AttemptResult::Stale);
        request.running = Some(upstream);
        request.attempts += 1;
        self.hold("at-most-once", !again, caller);
        self.hold("retry-count", counted, retry);
        self.count(match (retry, free) {
            (0, _) => "first attempts",
            (_, true) => "immediate retries",
            _ => "delayed retries",
        });
        self.contract(now, arrival, retry > 0 && !free, snapshot);
    }

    /// Checks rate, retry budget and concurrency of a customer whose request was forwarded.
    fn contract(&mut self, now: Time, arrival: Arrival, paid: bool, snapshot: &Snapshot) {
        let (key, pool_key) = (arrival.customer, arrival.pool);
        let spent = self.spent.entry(key).or_default();
        spent.retries += u32::from(paid);
        let (admitted, retries, since) = (spent.admitted, spent.retries, spent.since);
        let Some(customer) = snapshot
            .customers
            .iter()
            .find(|customer| customer.key == key)
        else {
            return self.hold("config", false, "customer without a contract was served");
        };
        let covered = customer.shares.iter().any(|(pool, _)| *pool == pool_key);
        self.hold("config", covered, "served in a pool without a share");
        let contract = &customer.contract;
        let saved = SAVED * 100 + admitted * contract.retry_percent;
        self.hold("retry-budget", retries * 100 <= saved, (admitted, retries));
        let gained = now.since(since).as_micros() * u128::from(contract.rate.per_second);
        let tokens = gained / 1_000_000 + u128::from(contract.rate.burst) + 1;
        let used = u128::from(admitted + retries);
        self.hold("rate", used <= tokens, (used, tokens));
        let running = self
            .open
            .values()
            .filter(|it| it.running.is_some() && it.arrival.customer == key);
        let limit = contract
            .concurrency
            .map(|limit| limit.div_ceil(self.entries));
        let running = running.count();
        let within = limit.is_none_or(|limit| running <= limit as usize);
        self.hold("concurrency", within, (running, limit));
    }

    /// Notes the end of an attempt; tells whether its request is still there.
    pub(crate) fn finished(
        &mut self,
        _now: Time,
        caller: caller::Handle,
        report: AttemptResult,
    ) -> bool {
        let Some(request) = self.open.get_mut(&caller) else {
            return false;
        };
        request.running = None;
        request.last = Some(report);
        request.may_have_run |=
            !matches!(report, AttemptResult::Stale | AttemptResult::Unreachable);
        let name = match report {
            AttemptResult::Answered(_) => "attempt answered",
            AttemptResult::Failed(_) => "attempt failed",
            AttemptResult::Unreachable => "attempt unreachable",
            AttemptResult::Stale => "attempt stale",
            AttemptResult::Lost => "attempt lost",
            AttemptResult::TimedOut => "attempt timed out",
            AttemptResult::Cancelled => "attempt cancelled",
        };
        if matches!(
            report,
            AttemptResult::Answered(_) | AttemptResult::Failed(_)
        ) {
            self.open.remove(&caller);
        }
        self.count(name);
        true
    }

    /// Chooses one of the newest open requests to cancel.
    pub(crate) fn cancel(&mut self, place: usize) -> Option<caller::Handle> {
        let open = self
            .order
            .iter()
            .rev()
            .filter(|caller| self.open.contains_key(caller));
        let open: Vec<_> = open.copied().collect();
        let caller = *open.get(place % open.len().max(1))?;
        let request = self.open.remove(&caller)?;
        self.count(match (request.running, request.attempts) {
            (Some(_), _) => "cancelled while running",
            (None, 0) => "cancelled in the queue",
            (None, _) => "cancelled before a retry",
        });
        Some(caller)
    }

    pub(crate) fn drained(&mut self, upstream: upstream::Key, sign: DrainSource, first: bool) {
        self.drained.insert(upstream);
        if first {
            self.count(&format!("drain sign: {sign:?}"));
        }
    }

    /// Checks that no upstream that has just got work runs more than this entry's part.
    pub(crate) fn partition(&mut self, statuses: impl Iterator<Item = Status>) {
        for status in statuses {
            let running = self
                .open
                .values()
                .filter(|it| it.running == Some(status.upstream))
                .count();
            let known = status.running as usize == running;
            self.hold("no-leak", known, (running, status));
            let within = status.running <= status.quota;
            self.hold(
                "partition",
                within || !self.granted.contains(&status.upstream),
                status,
            );
        }
        self.granted.clear();
    }

    pub(crate) fn waits(&self, now: Time) {
        for request in self.open.values() {
            let latest = request.arrival.deadline + ATTEMPT_TIMEOUT;
            self.hold("bounded-wait", now <= latest, (now, request.arrival));
        }
    }

    pub(crate) fn rest(
        &self,
        pending: usize,
        loads: impl Iterator<Item = (pool::Key, Load)>,
        statuses: impl Iterator<Item = Status>,
    ) {
        self.hold("one-end", self.open.is_empty(), self.open.len());
        self.hold("no-leak", pending == 0, pending);
        for (_, load) in loads {
            self.hold("no-leak", load.running == 0 && load.queued == 0, load);
        }
        for status in statuses {
            self.hold("no-leak", status.running == 0, status);
        }
    }
}
