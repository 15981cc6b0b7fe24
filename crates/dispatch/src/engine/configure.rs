//! Changes of the configuration, of hosts and of this entry's fraction of the contracts.

use super::{
    Decision,
    Engine,
    customer::{
        Customer,
        Fraction, //
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
    /// Applies a snapshot; queued requests of removed customers and pools are refused.
    pub fn apply(&mut self, now: Time, snapshot: &Snapshot, decisions: &mut Vec<Decision>) {
        self.complete = snapshot.complete;
        self.apply_pools(now, snapshot, decisions);
        self.apply_customers(now, snapshot, decisions);
        self.apply_upstreams(now, snapshot);
        self.divide_slots(now);
    }

    /// Sends no new requests to an upstream that is leaving; returns whether this is the first sign of that.
    pub fn drain_upstream(
        &mut self,
        now: Time,
        upstream: upstream::Key,
        source: DrainSource,
    ) -> bool {
        let pool = self.upstreams.get(upstream);
        let pool = pool.and_then(|upstream| self.pools.get_mut(upstream.pool));
        pool.is_some_and(|pool| pool.router.drain(now, upstream, source))
    }

    pub(super) fn set_contract_fraction(&mut self, now: Time, fraction: Fraction) {
        if self.fraction == fraction {
            return;
        }
        self.fraction = fraction;
        for customer in self.customers.values_mut() {
            customer.set_fraction(now, fraction);
        }
        let keys: Vec<customer::Key> = self.customers.keys().collect();
        for key in keys {
            self.unpark_customer(key);
        }
    }

    fn apply_pools(&mut self, now: Time, snapshot: &Snapshot, decisions: &mut Vec<Decision>) {
        let kept: BTreeSet<_> = snapshot.pools.iter().map(|pool| pool.key).collect();
        let before = self.pools.len();
        self.pools.retain(|key, _| kept.contains(&key));
        if self.pools.len() < before {
            self.refuse_orphans(now, decisions);
        }
        for configured in &snapshot.pools {
            if !self.pools.contains_key(configured.key) {
                self.pools
                    .insert(configured.key, Pool::new(self.limit.tickets));
            }
            let pool = &mut self.pools[configured.key];
            pool.attempt_timeout = configured.policy.attempt_timeout;
            pool.upstream_slots = configured.policy.slots;
            pool.upstreams.clear();
            pool.dirty = true;
        }
    }

    /// Refuses queued requests whose pool was removed.
    fn refuse_orphans(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        let queued = self.tickets.iter().filter(|(_, ticket)| {
            matches!(ticket.stage, Stage::Queued) && !self.pools.contains_key(ticket.arrival.pool)
        });
        let orphans: Vec<ticket::Key> = queued.map(|(key, _)| key).collect();
        self.refuse_removed(now, orphans, Reason::PoolUnknown, decisions);
    }

    fn apply_customers(&mut self, now: Time, snapshot: &Snapshot, decisions: &mut Vec<Decision>) {
        let kept: BTreeSet<_> = snapshot
            .customers
            .iter()
            .map(|configured| configured.key)
            .collect();
        let removed = self.customers.keys().filter(|key| !kept.contains(key));
        let removed: Vec<customer::Key> = removed.collect();
        for key in removed {
            let customer = self.customers.remove(key);
            let shares = customer.map(|customer| customer.shares).unwrap_or_default();
            let pools = shares.into_iter().map(|(pool, _)| pool);
            self.remove_from_queues(now, key, pools, Reason::Unauthenticated, decisions);
        }
        for configured in &snapshot.customers {
            self.apply_customer(now, configured, decisions);
        }
    }

    fn apply_customer(
        &mut self,
        now: Time,
        configured: &catalog::Customer,
        decisions: &mut Vec<Decision>,
    ) {
        let known = self.customers.get(configured.key);
        if known.is_some_and(|customer| customer.is_same(configured)) {
            return;
        }
        let fraction = self.fraction;
        let mut before = Vec::new();
        match self.customers.get_mut(configured.key) {
            Some(customer) => {
                before.clone_from(&customer.shares);
                customer.update(now, configured, fraction);
            }
            None => {
                let customer = Customer::new(now, configured, fraction);
                self.customers.insert(configured.key, customer);
            }
        }
        let kept: BTreeSet<_> = configured.shares.iter().map(|(pool, _)| *pool).collect();
        let removed_pools = before.into_iter().map(|(pool, _)| pool);
        let removed_pools = removed_pools.filter(|pool| !kept.contains(pool));
        self.remove_from_queues(
            now,
            configured.key,
            removed_pools,
            Reason::PoolUnknown,
            decisions,
        );
        let customer = &self.customers[configured.key];
        for &(pool, share) in &configured.shares {
            if let Some(pool) = self.pools.get_mut(pool) {
                let queue = &mut pool.queue;
                queue.set_customer(now, configured.key, share, &customer.classes);
                queue.set_spill(configured.key, customer.spill);
                pool.update_backlog(now, configured.key, |backlog| {
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
                pool.update_backlog(now, customer, |backlog| backlog.set_share(0, false, &[]));
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
            if let Some(ticket) = self.remove_ticket(now, key) {
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
        for configured in &snapshot.upstreams {
            let Some(pool) = self.pools.get_mut(configured.pool) else {
                continue;
            };
            let attributes = Attributes {
                availability_zone: configured.availability_zone,
                slots: pool.upstream_slots,
            };
            pool.upstreams.push(configured.key);
            pool.router.insert(now, configured.key, attributes);
            if configured.leaving {
                pool.router.drain(now, configured.key, DrainSource::List);
            }
            self.upsert_upstream(configured, attributes);
        }
    }
}
