//! State of one upstream within a router.

use super::{
    Attributes,
    Drain,
    Status, //
};
use crate::{
    estimate::Estimate,
    health::{
        Health,
        HealthState, //
    },
};
use sassafrascrank_base::prelude::*;

slotmap::new_key_type! {
    /// Identifies an upstream within one router, so that its tables are as small as its pool.
    pub(crate) struct Slot;
}

/// Order of preference within a zone: load, then latency step, then the longest unused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank(u128);

impl Rank {
    /// The upstream can't take work.
    pub(crate) const MAX: Self = Self(u128::MAX);
    /// A due probe goes first, since an upstream without probes would never come back.
    const PROBE: Self = Self(0);
}

/// One upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) upstream: upstream::Key,
    pub(crate) attributes: Attributes,
    pub(crate) zone: usize,
    pub(crate) quota: u32,
    pub(crate) running: u32,
    pub(crate) drain: Option<Drain>,
    pub(crate) health: Health,
    pub(crate) latency: Estimate,
    /// Number of the last choice that fell on this upstream.
    pub(crate) turn: u64,
    /// What the totals of the router contain for this upstream.
    pub(crate) counted: Account,
}

/// Contribution of one upstream to the totals of its router.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Account {
    pub(crate) limit: u32,
    pub(crate) usable: bool,
    pub(crate) out: bool,
}

impl Member {
    /// Makes an upstream without quota and history.
    pub(crate) fn new(upstream: upstream::Key, attributes: Attributes, zone: usize) -> Self {
        Self {
            upstream,
            attributes,
            zone,
            quota: 0,
            running: 0,
            drain: None,
            health: Health::new(),
            latency: Estimate::default(),
            turn: 0,
            counted: Account::default(),
        }
    }

    /// Returns what the totals should contain.
    pub(crate) fn account(&self) -> Account {
        let usable = self.drain.is_none() && self.quota > 0;
        Account {
            limit: self.limit(),
            usable,
            out: usable && self.health.state().is_out(),
        }
    }

    /// Returns how many requests may run at once.
    pub(crate) fn limit(&self) -> u32 {
        if self.drain.is_some() {
            return 0;
        }
        self.quota.min(self.health.allowed())
    }

    /// Returns the rank within the zone.
    pub(crate) fn rank(&self) -> Rank {
        let limit = self.limit();
        if self.running >= limit {
            return Rank::MAX;
        }
        if self.health.state() == HealthState::Probing(false) {
            return Rank::PROBE;
        }
        let load = (u64::from(self.running) << 32) / u64::from(limit);
        let step = u128::from(self.latency.step());
        Rank(u128::from(load) << 72 | step << 64 | u128::from(self.turn))
    }

    /// Returns the state for an operator.
    pub(crate) fn status(&self) -> Status {
        Status {
            upstream: self.upstream,
            attributes: self.attributes,
            quota: self.quota,
            running: self.running,
            drain: self.drain,
            state: self.health.state(),
            latency: self.latency.get(),
        }
    }
}
