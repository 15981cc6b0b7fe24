//! State of one customer within the engine.

use crate::catalog;
use sassafrascrank_base::{
    key::class::CLASS_LIMIT,
    prelude::*, //
};
use sassafrascrank_contract::model::Contract;
use sassafrascrank_queue::Class;
use sassafrascrank_retry::{
    Bucket,
    Budget, //
};
use slotmap::SecondaryMap;
use std::sync::Arc;

/// The latest service time has a weight of one part in this many in the moving average.
const COST_AVERAGE_DIVISOR: u32 = 8;

/// Limits and average service times of one customer.
#[derive(Debug)]
pub(super) struct Customer {
    pub(super) bucket: Bucket,
    pub(super) budget: Budget,
    pub(super) concurrency: u32,
    contract: Arc<Contract>,
    pub(super) running: u32,
    pub(super) spill: bool,
    pub(super) classes: Vec<Class>,
    pub(super) shares: Vec<(pool::Key, u32)>,
    costs: SecondaryMap<pool::Key, [Duration; CLASS_LIMIT]>,
}

impl Customer {
    pub(super) fn new(now: Time, configured: &catalog::Customer, fraction: Fraction) -> Self {
        let contract = &configured.contract;
        let rate = fraction.of(contract.rate.per_second);
        let mut customer = Self {
            bucket: Bucket::new(now, rate, fraction.of(contract.rate.burst)),
            budget: Budget::new(contract.retry_percent),
            concurrency: u32::MAX,
            contract: contract.clone(),
            running: 0,
            spill: false,
            classes: Vec::new(),
            shares: Vec::new(),
            costs: SecondaryMap::new(),
        };
        customer.update(now, configured, fraction);
        customer
    }

    pub(super) fn update(&mut self, now: Time, configured: &catalog::Customer, fraction: Fraction) {
        let contract = &configured.contract;
        self.contract = contract.clone();
        self.set_fraction(now, fraction);
        self.budget.resize(contract.retry_percent);
        self.spill = contract.spill;
        self.shares.clone_from(&configured.shares);
        let classes = contract.classes.iter().map(|class| Class {
            share: class.share,
            timeout: class.queue_timeout,
            limit: class.queue_limit,
        });
        self.classes = classes.collect();
    }

    /// Returns whether the customer in a snapshot has the same contract and shares.
    ///
    /// A pool that was removed and added again has a new key, so its share counts as changed.
    pub(super) fn is_same(&self, configured: &catalog::Customer) -> bool {
        let same = Arc::ptr_eq(&self.contract, &configured.contract)
            || self.contract == configured.contract;
        same && self.shares == configured.shares
    }

    /// Limits rate and concurrency to this entry's fraction of the contract.
    pub(super) fn set_fraction(&mut self, now: Time, fraction: Fraction) {
        let contract = &self.contract;
        let rate = fraction.of(contract.rate.per_second);
        self.bucket
            .resize(now, rate, fraction.of(contract.rate.burst));
        self.concurrency = contract
            .concurrency
            .map_or(u32::MAX, |slots| fraction.of(slots));
    }

    /// Returns the expected time in a slot of `pool`, or `default` if none is known.
    pub(super) fn cost(&self, pool: pool::Key, class: class::Index, default: Duration) -> Duration {
        let known = self
            .costs
            .get(pool)
            .map(|costs| costs[usize::from(class.0)]);
        known.filter(|cost| !cost.is_zero()).unwrap_or(default)
    }

    /// Updates the average service time with an `actual` one.
    pub(super) fn record_cost(&mut self, pool: pool::Key, class: class::Index, actual: Duration) {
        let Some(costs) = self.costs.entry(pool) else {
            return;
        };
        let costs = costs.or_insert([Duration::ZERO; CLASS_LIMIT]);
        let cost = &mut costs[usize::from(class.0)];
        *cost = match *cost {
            Duration::ZERO => actual,
            known => known - known / COST_AVERAGE_DIVISOR + actual / COST_AVERAGE_DIVISOR,
        };
    }
}

/// Fraction of a contract that this entry may use: one of `entries` equal parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Fraction {
    /// Live entries that share the contract, at least 1.
    pub(super) entries: u32,
}

impl Fraction {
    /// Returns this entry's part of `limit`, rounded up so that it is never 0 for a limit above 0.
    pub(super) fn of(self, limit: u32) -> u32 {
        limit.div_ceil(self.entries.max(1))
    }
}
