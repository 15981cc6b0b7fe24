//! The engine and its life of a request.

use super::{
    Arrival, Decision, Limit,
    customer::{
        Customer,
        Part, //
    },
    partition::{
        Demand,
        Peer,
        Upstream, //
    },
    pool::{
        Load,
        Pool, //
    },
    ticket::{
        Stage,
        Ticket, //
    },
};
use core::cmp::Reverse;
use sassafrascrank_base::prelude::*;
use sassafrascrank_queue::{
    Grant,
    Request, //
};
use sassafrascrank_route::{
    AttemptResult,
    Status, //
};
use slotmap::{
    SecondaryMap,
    SlotMap, //
};
use std::collections::BinaryHeap;

/// Decides on admission, order, upstream and retries of all requests of one entry process.
///
/// The caller passes arrivals, completions and cancellations in, and takes decisions from [`Engine::poll`].
#[derive(Debug)]
pub struct Engine {
    pub(super) home: availability_zone::Key,
    pub(super) limit: Limit,
    pub(super) part: Part,
    pub(super) complete: bool,
    pub(super) customers: SecondaryMap<customer::Key, Customer>,
    pub(super) pools: SecondaryMap<pool::Key, Pool>,
    pub(super) upstreams: SecondaryMap<upstream::Key, Upstream>,
    pub(super) me: u64,
    pub(super) peers: Vec<Peer>,
    pub(super) reported: Vec<Demand>,
    pub(super) tickets: SlotMap<ticket::Key, Ticket>,
    pub(super) callers: Vec<SecondaryMap<caller::Key, ticket::Key>>,
    pub(super) retries: BinaryHeap<Reverse<(Time, ticket::Key)>>,
    pub(super) expired: Vec<(ticket::Key, Refusal)>,
    pub(super) random: u64,
}

impl Engine {
    /// Makes an engine that admits nothing until it gets a configuration.
    ///
    /// `threads` is the number of exchange threads, `me` the identity of this process that all entries know.
    pub fn new(home: availability_zone::Key, threads: u8, limit: Limit, me: u64) -> Self {
        Self {
            home,
            limit,
            part: Part { entries: 1 },
            complete: false,
            customers: SecondaryMap::new(),
            pools: SecondaryMap::new(),
            upstreams: SecondaryMap::new(),
            me,
            peers: Vec::new(),
            reported: Vec::new(),
            tickets: SlotMap::with_capacity_and_key(limit.tickets),
            callers: (0..threads).map(|_| SecondaryMap::new()).collect(),
            retries: BinaryHeap::with_capacity(limit.tickets),
            expired: Vec::with_capacity(limit.tickets),
            random: me,
        }
    }

    /// Returns the number of requests that are queued, running or waiting for a retry.
    pub fn pending(&self) -> usize {
        self.tickets.len()
    }

    /// Returns the load of each pool, in no particular order.
    pub fn loads(&self) -> impl Iterator<Item = (pool::Key, Load)> + '_ {
        self.pools.iter().map(|(key, pool)| (key, pool.load()))
    }

    /// Returns the state of each upstream, in no particular order.
    pub fn upstreams(&self) -> impl Iterator<Item = Status> + '_ {
        self.pools.values().flat_map(|pool| pool.router.statuses())
    }

    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// Refuses the request as "not run" if a limit of its contract or of the engine is reached.
    pub fn arrive(&mut self, now: Time, arrival: Arrival) -> Result<(), Refusal> {
        if !self.complete {
            return Err(self.refuse(Reason::Unconfigured));
        }
        if self.tickets.len() >= self.limit.tickets {
            return Err(self.refuse(Reason::Overloaded));
        }
        // The caller was authenticated by a configuration that has changed in between.
        let unconfigured = self.refuse(Reason::Unconfigured);
        let customer = self.customers.get_mut(arrival.customer);
        let customer = customer.ok_or(unconfigured)?;
        customer
            .bucket
            .take(now)
            .map_err(|wait| Refusal::not_run(Reason::RateLimited).with_retry_after(wait))?;
        customer.budget.earn();
        let key = self.tickets.insert(Ticket {
            arrival,
            spill: customer.spill,
            failed: 0,
            avoid: None,
            fallback: Refusal::not_run(Reason::NoUpstream),
            stage: Stage::Queued,
        });
        if let Err(refusal) = self.enqueue(now, key) {
            self.tickets.remove(key);
            return Err(refusal);
        }
        if let Some(callers) = self.callers.get_mut(usize::from(arrival.caller.thread)) {
            callers.insert(arrival.caller.key, key);
        }
        self.count_pending(now, key, 1);
        Ok(())
    }

    /// Takes note that the attempt of `caller` has ended.
    ///
    /// An answer ends the request. Otherwise the request is retried where that can't run it twice, or a refusal
    /// comes out of [`Engine::poll`].
    pub fn finish(&mut self, now: Time, caller: caller::Handle, report: AttemptResult) {
        let Some(key) = self.lookup(caller) else {
            return;
        };
        let Some(&ticket) = self.tickets.get(key) else {
            return;
        };
        let Stage::Running {
            upstream,
            grant,
            since,
        } = ticket.stage
        else {
            return;
        };
        self.release(now, ticket.arrival.pool, upstream, &grant, since, report);
        self.after_attempt(now, key, upstream, report);
    }

    /// Forgets a request whose caller has gone; a running attempt must be ended by the caller of this function.
    pub fn cancel(&mut self, now: Time, caller: caller::Handle) {
        let Some(key) = self.lookup(caller) else {
            return;
        };
        let Some(ticket) = self.forget(now, key) else {
            return;
        };
        match ticket.stage {
            Stage::Queued => {
                if let Some(pool) = self.pools.get_mut(ticket.arrival.pool) {
                    pool.queue.cancel(key);
                }
            }
            Stage::Running {
                upstream,
                grant,
                since,
            } => {
                let pool = ticket.arrival.pool;
                self.release(now, pool, upstream, &grant, since, AttemptResult::Cancelled);
            }
            Stage::Backoff => {}
        }
    }

    /// Makes all decisions that are due and appends them to `decisions`.
    pub fn poll(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        self.start_probes(now);
        self.start_retries(now, decisions);
        self.refuse_expired(now, decisions);
        self.grant_slots(now, decisions);
    }

    /// Returns when [`Engine::poll`] has to run next if nothing else happens before.
    pub fn next_wakeup(&self) -> Option<Time> {
        let retry = self.retries.peek().map(|Reverse((at, _))| *at);
        let expiries = self
            .pools
            .values()
            .filter_map(|pool| pool.queue.next_expiry());
        let probes = self
            .pools
            .values()
            .filter_map(|pool| pool.router.next_probe());
        expiries.chain(probes).chain(retry).min()
    }

    pub(super) fn refuse(&self, reason: Reason) -> Refusal {
        Refusal::not_run(reason).with_retry_after(self.limit.retry_after)
    }

    pub(super) fn enqueue(&mut self, now: Time, key: ticket::Key) -> Result<(), Refusal> {
        let refusal = Refusal::not_run(Reason::PoolUnknown);
        let ticket = self.tickets.get_mut(key).ok_or(refusal)?;
        let arrival = ticket.arrival;
        let pool = self.pools.get_mut(arrival.pool).ok_or(refusal)?;
        let customer = self.customers.get(arrival.customer).ok_or(refusal)?;
        if !customer
            .shares
            .iter()
            .any(|(pool, _)| *pool == arrival.pool)
        {
            return Err(refusal);
        }
        pool.router.advance(now);
        pool.slots = pool.router.slots(self.home, false);
        if pool.router.slots(self.home, true) == 0 {
            let wait = self.limit.retry_after;
            return Err(Refusal::not_run(Reason::NoUpstream).with_retry_after(wait));
        }
        let default = pool.router.service_time();
        let request = Request {
            ticket: key,
            customer: arrival.customer,
            class: arrival.class,
            deadline: arrival.deadline,
            cost: customer.cost(arrival.pool, arrival.class, default),
        };
        pool.queue.push(now, request, pool.slots)?;
        pool.dirty = true;
        ticket.stage = Stage::Queued;
        Ok(())
    }

    /// Removes a request from the arenas.
    pub(super) fn forget(&mut self, now: Time, key: ticket::Key) -> Option<Ticket> {
        self.count_pending(now, key, -1);
        let ticket = self.tickets.remove(key)?;
        let caller = ticket.arrival.caller;
        if let Some(callers) = self.callers.get_mut(usize::from(caller.thread)) {
            callers.remove(caller.key);
        }
        Some(ticket)
    }

    fn lookup(&self, caller: caller::Handle) -> Option<ticket::Key> {
        let callers = self.callers.get(usize::from(caller.thread))?;
        callers.get(caller.key).copied()
    }

    fn release(
        &mut self,
        now: Time,
        pool_key: pool::Key,
        upstream: upstream::Key,
        grant: &Grant,
        since: Time,
        report: AttemptResult,
    ) {
        let actual = now.since(since);
        if let Some(pool) = self.pools.get_mut(pool_key) {
            pool.router.release(now, upstream, report);
            pool.queue.finish(now, grant, actual);
            pool.dirty = true;
        }
        let Some(customer) = self.customers.get_mut(grant.customer) else {
            return;
        };
        let limited = customer.running >= customer.concurrency;
        customer.running = customer.running.saturating_sub(1);
        if let AttemptResult::Answered(_) = report {
            customer.learn(pool_key, grant.class, actual);
        }
        if limited {
            self.wake_customer(grant.customer);
        }
    }

    /// Considers a customer again in all of its pools, after its running requests or its limit have changed.
    pub(super) fn wake_customer(&mut self, key: customer::Key) {
        let Some(customer) = self.customers.get(key) else {
            return;
        };
        for (pool, _) in &customer.shares {
            if let Some(pool) = self.pools.get_mut(*pool) {
                pool.queue.unpark(key);
                pool.dirty = true;
            }
        }
    }

    /// Lets ejected upstreams take their probe, also if nothing is queued: slots that only a probe brings back would
    /// otherwise stay at 0, and every arrival would be refused.
    fn start_probes(&mut self, now: Time) {
        for pool in self.pools.values_mut() {
            if pool.router.next_probe().is_some_and(|at| at <= now) {
                pool.router.advance(now);
                pool.slots = pool.router.slots(self.home, false);
                pool.dirty = true;
            }
        }
    }

    fn refuse_expired(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        let mut expired = core::mem::take(&mut self.expired);
        for pool in self.pools.values_mut() {
            pool.queue.expire(now, &mut expired);
        }
        for (key, refusal) in expired.drain(..) {
            if let Some(ticket) = self.forget(now, key) {
                let refusal = ticket.refusal(refusal);
                let caller = ticket.arrival.caller;
                decisions.push(Decision::Refuse { caller, refusal });
            }
        }
        self.expired = expired;
    }
}
