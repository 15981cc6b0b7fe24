//! Configuration, hosts and peers as they change.

use super::{
    Decision,
    Engine,
    customer::{
        Customer,
        Part, //
    },
    pool::Pool,
    ticket::Stage, //
};
use crate::{
    Snapshot,
    catalog, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::{
    Attributes,
    DrainSource, //
};
use std::collections::BTreeSet;

impl Engine {
    /// Puts a snapshot into force; requests of customers that are gone are refused.
    pub fn apply(&mut self, now: Time, snapshot: &Snapshot, decisions: &mut Vec<Decision>) {
        self.complete = snapshot.complete;
        self.apply_pools(now, snapshot, decisions);
        self.apply_customers(now, snapshot, decisions);
        self.apply_upstreams(now, snapshot);
        self.divide_slots(now);
    }

    /// Stops new work for an upstream that is leaving; tells whether this is the first sign.
    pub fn drain_upstream(
        &mut self,
        now: Time,
        upstream: upstream::Key,
        sign: DrainSource,
    ) -> bool {
        let pool = self.upstreams.get(upstream);
        let pool = pool.and_then(|upstream| self.pools.get_mut(upstream.pool));
        pool.is_some_and(|pool| pool.router.drain(now, upstream, sign))
    }

    pub(super) fn set_portion(&mut self, now: Time, part: Part) {
        if self.part == part {
            return;
        }
        self.part = part;
        for customer in self.customers.values_mut() {
            customer.set_part(now, part);
        }
        let keys: Vec<customer::Key> = self.customers.keys().collect();
        for key in keys {
            self.wake_customer(key);
        }
    }

    fn apply_pools(&mut self, now: Time, snapshot: &Snapshot, decisions: &mut Vec<Decision>) {
        let kept: BTreeSet<_> = snapshot.pools.iter().map(|pool| pool.key).collect();
        let before = self.pools.len();
        self.pools.retain(|key, _| kept.contains(&key));
        if self.pools.len() < before {
            self.refuse_orphans(now, decisions);
        }
        for entry in &snapshot.pools {
            if !self.pools.contains_key(entry.key) {
                self.pools.insert(entry.key, Pool::new(self.limit.tickets));
            }
            let pool = &mut self.pools[entry.key];
            pool.attempt_timeout = entry.policy.attempt_timeout;
            pool.upstream_slots = entry.policy.slots;
            pool.members.clear();
            pool.dirty = true;
        }
    }

    /// Refuses requests whose queue has gone with its pool.
    fn refuse_orphans(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        let queued = self.tickets.iter().filter(|(_, ticket)| {
            matches!(ticket.stage, Stage::Queued) && !self.pools.contains_key(ticket.arrival.pool)
        });
        let orphans: Vec<ticket::Key> = queued.map(|(key, _)| key).collect();
        self.refuse_removed(now, orphans, Reason::PoolUnknown, decisions);
    }

    fn apply_customers(&mut self, now: Time, snapshot: &Snapshot, decisions: &mut Vec<Decision>) {
        let kept: BTreeSet<_> = snapshot.customers.iter().map(|entry| entry.key).collect();
        let gone = self.customers.keys().filter(|key| !kept.contains(key));
        let gone: Vec<customer::Key> = gone.collect();
        for key in gone {
            let customer = self.customers.remove(key);
            let shares = customer.map(|customer| customer.shares).unwrap_or_default();
            let pools = shares.into_iter().map(|(pool, _)| pool);
            self.remove_from_queues(now, key, pools, Reason::Unauthenticated, decisions);
        }
        for entry in &snapshot.customers {
            self.apply_customer(now, entry, decisions);
        }
    }

    fn apply_customer(
        &mut self,
        now: Time,
        entry: &catalog::Customer,
        decisions: &mut Vec<Decision>,
    ) {
        let known = self.customers.get(entry.key);
        if known.is_some_and(|customer| customer.is_same(entry)) {
            return;
        }
        let part = self.part;
        let mut before = Vec::new();
        match self.customers.get_mut(entry.key) {
            Some(customer) => {
                before.clone_from(&customer.shares);
                customer.update(now, entry, part);
            }
            None => {
                let customer = Customer::new(now, entry, part);
                self.customers.insert(entry.key, customer);
            }
        }
        let kept: BTreeSet<_> = entry.shares.iter().map(|(pool, _)| *pool).collect();
        let lost = before.into_iter().map(|(pool, _)| pool);
        let lost = lost.filter(|pool| !kept.contains(pool));
        self.remove_from_queues(now, entry.key, lost, Reason::PoolUnknown, decisions);
        let customer = &self.customers[entry.key];
        for &(pool, share) in &entry.shares {
            if let Some(pool) = self.pools.get_mut(pool) {
                let queue = &mut pool.queue;
                queue.set_customer(now, entry.key, share, &customer.classes);
                queue.set_spill(entry.key, customer.spill);
                pool.change_backlog(now, entry.key, |backlog| {
                    backlog.set_share(share, customer.spill, &customer.classes);
                });
            }
        }
    }

    fn remove_from_queues(
        &mut self,
        now: Time,
        customer: customer::Key,
        pools: impl Iterator<Item = pool::Key>,
        reason: Reason,
        decisions: &mut Vec<Decision>,
    ) {
        let mut removed = Vec::new();
        for pool in pools {
            if let Some(pool) = self.pools.get_mut(pool) {
                pool.queue.remove_customer(customer, &mut removed);
                pool.change_backlog(now, customer, |backlog| backlog.set_share(0, false, &[]));
            }
        }
        self.refuse_removed(now, removed, reason, decisions);
    }

    fn refuse_removed(
        &mut self,
        now: Time,
        removed: Vec<ticket::Key>,
        reason: Reason,
        decisions: &mut Vec<Decision>,
    ) {
        for key in removed {
            if let Some(ticket) = self.forget(now, key) {
                let refusal = ticket.refusal(Refusal::not_run(reason));
                let caller = ticket.arrival.caller;
                decisions.push(Decision::Refuse { caller, refusal });
            }
        }
    }

    fn apply_upstreams(&mut self, now: Time, snapshot: &Snapshot) {
        let pools = &mut self.pools;
        let kept: BTreeSet<_> = snapshot
            .upstreams
            .iter()
            .map(|upstream| upstream.key)
            .collect();
        self.upstreams.retain(|key, upstream| {
            let keep = kept.contains(&key);
            if !keep && let Some(pool) = pools.get_mut(upstream.pool) {
                pool.router.remove(key);
            }
            keep
        });
        for entry in &snapshot.upstreams {
            let Some(pool) = self.pools.get_mut(entry.pool) else {
                continue;
            };
            let attributes = Attributes {
                availability_zone: entry.availability_zone,
                slots: pool.upstream_slots,
            };
            pool.members.push(entry.key);
            pool.router.insert(now, entry.key, attributes);
            if entry.leaving {
                pool.router.drain(now, entry.key, DrainSource::List);
            }
            self.keep_upstream(entry, attributes);
        }
    }
}
