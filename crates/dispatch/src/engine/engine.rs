//! The engine, and the path of a request through it.

use super::{
    Arrival, Decision, Limit,
    customer::{
        Customer,
        Fraction, //
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
    pub(super) fraction: Fraction,
    pub(super) complete: bool,
    pub(super) customers: SecondaryMap<customer::Key, Customer>,
    pub(super) pools: SecondaryMap<pool::Key, Pool>,
    pub(super) upstreams: SecondaryMap<upstream::Key, Upstream>,
    pub(super) own_id: u64,
    pub(super) peers: Vec<Peer>,
    /// Demand of this entry as the other entries were told, sorted by pool.
    pub(super) reported: Vec<Demand>,
    pub(super) tickets: SlotMap<ticket::Key, Ticket>,
    /// Ticket of each caller, for each exchange thread.
    pub(super) callers: Vec<SecondaryMap<caller::Key, ticket::Key>>,
    /// Requests that wait for a retry or for the refusal after their last attempt, earliest first.
    pub(super) retries: BinaryHeap<Reverse<(Time, ticket::Key)>>,
    /// Buffer for expired requests, kept between polls so that it is allocated once.
    pub(super) expired: Vec<(ticket::Key, Refusal)>,
    /// State of the generator of backoff jitter.
    pub(super) jitter_state: u64,
}

impl Engine {
    /// Creates an engine that admits no request until it gets a configuration.
    ///
    /// `threads` is the number of exchange threads, and `own_id` the identity under which the other entries know
    /// this process.
    pub fn new(home: availability_zone::Key, threads: u8, limit: Limit, own_id: u64) -> Self {
        Self {
            home,
            limit,
            fraction: Fraction { entries: 1 },
            complete: false,
            customers: SecondaryMap::new(),
            pools: SecondaryMap::new(),
            upstreams: SecondaryMap::new(),
            own_id,
            peers: Vec::new(),
            reported: Vec::new(),
            tickets: SlotMap::with_capacity_and_key(limit.tickets),
            callers: (0..threads).map(|_| SecondaryMap::new()).collect(),
            retries: BinaryHeap::with_capacity(limit.tickets),
            expired: Vec::with_capacity(limit.tickets),
            jitter_state: own_id,
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

    /// Admits a request to the queue of its pool.
    ///
    /// # Errors
    ///
    /// Refuses the request as "not run" if a limit of its contract or of the engine is reached, if its deadline can't
    /// be met, if the pool has no upstream for it, or if the configuration lacks its customer or pool.
    pub fn arrive(&mut self, now: Time, arrival: Arrival) -> Result<(), Refusal> {
        if !self.complete {
            return Err(self.refusal(Reason::Unconfigured));
        }
        if self.tickets.len() >= self.limit.tickets {
            return Err(self.refusal(Reason::Overloaded));
        }
        // The customer may have been removed since the caller was authenticated.
        let unconfigured = self.refusal(Reason::Unconfigured);
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
        self.adjust_pending(now, key, 1);
        Ok(())
    }

    /// Records the end of the running attempt for `caller`.
    ///
    /// An answer ends the request. After a failure, the request is retried unless that could run a non-idempotent
    /// request twice or a limit forbids it; otherwise [`Engine::poll`] refuses it.
    pub fn finish(&mut self, now: Time, caller: caller::Handle, result: AttemptResult) {
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
        self.release_slot(now, ticket.arrival.pool, upstream, &grant, since, result);
        self.after_attempt(now, key, upstream, result);
    }

    /// Removes a request whose caller has disconnected.
    ///
    /// The caller of this function has to end a running attempt itself.
    pub fn cancel(&mut self, now: Time, caller: caller::Handle) {
        let Some(key) = self.lookup(caller) else {
            return;
        };
        let Some(ticket) = self.remove_ticket(now, key) else {
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
                self.release_slot(now, pool, upstream, &grant, since, AttemptResult::Cancelled);
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

    /// Returns the time at which [`Engine::poll`] has to run next if nothing else happens before.
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

    pub(super) fn refusal(&self, reason: Reason) -> Refusal {
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

    /// Removes a request from all maps of the engine; the caller frees its place in the queue or its slot.
    pub(super) fn remove_ticket(&mut self, now: Time, key: ticket::Key) -> Option<Ticket> {
        self.adjust_pending(now, key, -1);
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

    fn release_slot(
        &mut self,
        now: Time,
        pool_key: pool::Key,
        upstream: upstream::Key,
        grant: &Grant,
        since: Time,
        result: AttemptResult,
    ) {
        let actual = now.since(since);
        if let Some(pool) = self.pools.get_mut(pool_key) {
            pool.router.release(now, upstream, result);
            pool.queue.finish(now, grant, actual);
            pool.dirty = true;
        }
        let Some(customer) = self.customers.get_mut(grant.customer) else {
            return;
        };
        let limited = customer.running >= customer.concurrency;
        customer.running = customer.running.saturating_sub(1);
        if let AttemptResult::Answered(_) = result {
            customer.record_cost(pool_key, grant.class, actual);
        }
        if limited {
            self.unpark_customer(grant.customer);
        }
    }

    /// Makes a customer eligible again in the queues of all its pools, after its running requests or its limit changed.
    pub(super) fn unpark_customer(&mut self, key: customer::Key) {
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

    /// Lets ejected upstreams take their probe even if nothing is queued.
    ///
    /// Otherwise a pool whose upstreams are all ejected keeps 0 slots, and every arrival is refused.
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
            if let Some(ticket) = self.remove_ticket(now, key) {
                let refusal = ticket.refusal(refusal);
                let caller = ticket.arrival.caller;
                decisions.push(Decision::Refuse { caller, refusal });
            }
        }
        self.expired = expired;
    }
}
