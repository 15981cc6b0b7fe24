//! Slots for queued requests.

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

/// What the grants of one poll read and change besides the pool.
struct Scope<'a> {
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
        let mut scope = Scope {
            now,
            home: self.home,
            customers: &mut self.customers,
            tickets: &mut self.tickets,
            upstreams: &self.upstreams,
            decisions,
        };
        for pool in self.pools.values_mut().filter(|pool| pool.dirty) {
            pool.dirty = false;
            scope.serve(pool);
        }
    }
}

impl Scope<'_> {
    fn serve(&mut self, pool: &mut Pool) {
        while self.start(pool, false) {}
        if pool.spillable > 0 {
            while self.start(pool, true) {}
        }
    }

    /// Starts one request; tells whether another one may follow.
    fn start(&mut self, pool: &mut Pool, spill: bool) -> bool {
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

    /// Sends a granted request out; tells whether the slot is used.
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
        let upstream = other_upstream(self.now, self.home, pool, spill, ticket, chosen);
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
            until: ticket.until(self.now, pool.attempt_timeout),
            retry: ticket.failed,
        });
        true
    }
}

/// Swaps the chosen upstream for another one if the same request has just failed there.
fn other_upstream(
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
