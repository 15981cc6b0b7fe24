//! Choice of the request that starts next.

use super::{
    Grant,
    Queue,
    Request,
    entry::Charge,
    lane::micros, //
};
use sassafrascrank_base::prelude::*;

/// Customers at their limit that one `pop` asks again, so that a limit raised without notice is seen soon.
const RECHECKS: usize = 2;
/// Customers at their limit that one `pop` asks again if nothing else waits; it bounds the cost of a `pop`.
const IDLE_RECHECKS: usize = 64;

impl Queue {
    /// Takes the request that is to start next, among customers for which `eligible` holds.
    ///
    /// A customer for which it does not hold is passed over and asked again after `finish`, `unpark` or
    /// `set_customer` for it. Without such a call, every `pop` asks two such customers again in turn, and up to 64
    /// if no other customer has a request.
    pub fn pop(&mut self, now: Time, eligible: impl Fn(customer::Key) -> bool) -> Option<Grant> {
        self.pop_from(now, false, &eligible)
    }

    /// Takes the request that is to start next in a slot of another availability zone.
    ///
    /// Only customers with [`Queue::set_spill`] are considered. Such slots have start tags of their own, so their use
    /// neither costs a customer its share of the home zone nor advances the clock that the other customers follow.
    pub fn pop_spill(
        &mut self,
        now: Time,
        eligible: impl Fn(customer::Key) -> bool,
    ) -> Option<Grant> {
        self.pop_from(now, true, &eligible)
    }

    fn pop_from(
        &mut self,
        now: Time,
        spill: bool,
        eligible: &impl Fn(customer::Key) -> bool,
    ) -> Option<Grant> {
        for _ in 0..RECHECKS {
            self.recheck(eligible);
        }
        let mut rest = IDLE_RECHECKS.min(self.parked.len());
        loop {
            let order = if spill { &self.abroad } else { &self.ready };
            let Some((_, customer)) = order.first() else {
                rest = rest.checked_sub(1)?;
                self.recheck(eligible);
                continue;
            };
            if !eligible(customer) {
                self.park(customer);
                continue;
            }
            if let Some(grant) = self.grant(now, customer, spill) {
                return Some(grant);
            }
        }
    }

    fn grant(&mut self, now: Time, customer: customer::Key, spill: bool) -> Option<Grant> {
        let key = self.head(customer)?;
        let entry = *self.entries.get(key)?;
        if entry.expiry <= now {
            self.shed(key, Reason::DeadlineUnmet);
            return None;
        }
        let Request { ticket, class, .. } = entry.request;
        let account = self.accounts.get_mut(customer)?;
        let lane = account.lane(class)?;
        let flow = if spill { account.abroad } else { account.flow };
        let expected = micros(entry.request.cost);
        let charged = lane.corrected(expected);
        let charge = Charge {
            customer,
            class,
            spill,
            expected,
            charged,
            account_epoch: flow.epoch,
            lane_epoch: lane.flow.epoch,
        };
        let clock = match spill {
            true => &mut self.abroad_clock,
            false => &mut self.clock,
        };
        *clock = (*clock).max(flow.start);
        account.charge(class, charged, spill);
        self.detach(key);
        self.forget(key);
        self.running.insert(ticket, charge);
        Some(Grant {
            ticket,
            customer,
            class,
            cost: Duration::from_micros(charged),
        })
    }

    fn park(&mut self, customer: customer::Key) {
        self.ready.remove(customer);
        self.abroad.remove(customer);
        let order = self.next_sequence();
        self.parked.set(customer, order);
    }

    fn recheck(&mut self, eligible: &impl Fn(customer::Key) -> bool) {
        let Some((_, customer)) = self.parked.first() else {
            return;
        };
        if eligible(customer) {
            return self.unpark(customer);
        }
        let order = self.next_sequence();
        self.parked.set(customer, order);
    }
}
