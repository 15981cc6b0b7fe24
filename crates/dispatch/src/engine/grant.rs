//! Assignment of free slots to queued requests.

use super::{
    Decision, Engine,
    arrival::Target,
    customer::Customer,
    partition::Upstream,
    pool::Pool,
    ticket::{
        Stage,
        Ticket, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_queue::Grant;
use sassafrascrank_route::AttemptResult;
use slotmap::{
    SecondaryMap,
    SlotMap, //
};

/// State that the grants of one poll use, apart from the pool itself.
struct Context<'a> {
    now: Time,
    home: availability_zone::Key,
    customers: &'a mut SecondaryMap<customer::Key, Customer>,
    tickets: &'a mut SlotMap<ticket::Key, Ticket>,
    upstreams: &'a SecondaryMap<upstream::Key, Upstream>,
    decisions: &'a mut Vec<Decision>,
}

impl Engine {
    /// Starts queued requests in all pools where a slot may be free.
    pub(super) fn grant_slots(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        let mut context = Context {
            now,
            home: self.home,
            customers: &mut self.customers,
            tickets: &mut self.tickets,
            upstreams: &self.upstreams,
            decisions,
        };
        for pool in self.pools.values_mut().filter(|pool| pool.dirty) {
            pool.dirty = false;
            context.start_requests(pool);
        }
    }
}

impl Context<'_> {
    fn start_requests(&mut self, pool: &mut Pool) {
        while self.start_request(pool, false) {}
        if pool.spillable > 0 {
            while self.start_request(pool, true) {}
        }
    }

    /// Starts one request; returns whether another one may follow.
    fn start_request(&mut self, pool: &mut Pool, spill: bool) -> bool {
        if pool.queue.is_empty() {
            return false;
        }
        let Some(upstream) = pool.router.choose(self.now, self.home, spill, None) else {
            return false;
        };
        let Some(grant) = self.pop(pool, spill) else {
            pool.router
                .release(self.now, upstream, AttemptResult::Cancelled);
            return false;
        };
        if !self.forward(pool, spill, grant, upstream) {
            pool.router
                .release(self.now, upstream, AttemptResult::Cancelled);
            pool.queue.finish(self.now, &grant, Duration::ZERO);
        }
        true
    }

    fn pop(&self, pool: &mut Pool, spill: bool) -> Option<Grant> {
        let eligible = |key| {
            let customer: Option<&Customer> = self.customers.get(key);
            customer.is_some_and(|customer| customer.running < customer.concurrency)
        };
        match spill {
            true => pool.queue.pop_spill(self.now, eligible),
            false => pool.queue.pop(self.now, eligible),
        }
    }

    /// Forwards a granted request to an upstream; returns whether it takes the slot.
    fn forward(
        &mut self,
        pool: &mut Pool,
        spill: bool,
        grant: Grant,
        chosen: upstream::Key,
    ) -> bool {
        let Some(ticket) = self.tickets.get_mut(grant.ticket) else {
            return false;
        };
        let upstream = avoid_failed_upstream(self.now, self.home, pool, spill, ticket, chosen);
        let Some(address) = self.upstreams.get(upstream).map(|it| it.address) else {
            return false;
        };
        ticket.stage = Stage::Running {
            upstream,
            grant,
            since: self.now,
        };
        if let Some(customer) = self.customers.get_mut(grant.customer) {
            customer.running += 1;
        }
        self.decisions.push(Decision::Forward {
            caller: ticket.arrival.caller,
            target: Target { upstream, address },
            until: ticket.attempt_end(self.now, pool.attempt_timeout),
            retry: ticket.failed,
        });
        true
    }
}

/// Replaces the chosen upstream by another one if the last attempt of the request failed there.
fn avoid_failed_upstream(
    now: Time,
    home: availability_zone::Key,
    pool: &mut Pool,
    spill: bool,
    ticket: &Ticket,
    chosen: upstream::Key,
) -> upstream::Key {
    if ticket.avoid != Some(chosen) {
        return chosen;
    }
    let Some(other) = pool.router.choose(now, home, spill, ticket.avoid) else {
        return chosen;
    };
    pool.router.release(now, chosen, AttemptResult::Cancelled);
    other
}
