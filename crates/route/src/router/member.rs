//! State of one upstream of a pool.

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
    /// Identifies an upstream within one router.
    ///
    /// With a key of its own, the tables of a router are as small as its pool.
    pub(crate) struct MemberKey;
}

/// Order of preference within a zone: by load, then by latency, then by the time since the last choice.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank(u128);

impl Rank {
    /// The upstream can't take a request.
    pub(crate) const MAX: Self = Self(u128::MAX);
    /// A probe is due. It goes first, because an upstream without probes would never return to service.
    const PROBE: Self = Self(0);
}

/// One upstream of the pool of a router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) upstream: upstream::Key,
    pub(crate) attributes: Attributes,
    /// Index of its zone in the router.
    pub(crate) zone: usize,
    pub(crate) quota: u32,
    pub(crate) running: u32,
    pub(crate) drain: Option<Drain>,
    pub(crate) health: Health,
    pub(crate) latency: Estimate,
    /// Number of the last choice of this upstream, counted over the router.
    pub(crate) last_choice: u64,
    /// What the totals of the router currently include for this upstream.
    pub(crate) counted: Contribution,
}

/// Contribution of one upstream to the totals of its router.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Contribution {
    /// Requests that may run at once.
    pub(crate) limit: u32,
    /// Whether it has a quota and does not drain.
    pub(crate) usable: bool,
    /// Whether it is usable but out of service.
    pub(crate) out_of_service: bool,
}

impl Member {
    /// Creates an upstream without quota and history.
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
            last_choice: 0,
            counted: Contribution::default(),
        }
    }

    /// Returns what the totals should include.
    pub(crate) fn contribution(&self) -> Contribution {
        let usable = self.drain.is_none() && self.quota > 0;
        Contribution {
            limit: self.limit(),
            usable,
            out_of_service: usable && self.health.state().is_out_of_service(),
        }
    }

    /// Returns how many requests may run at once.
    pub(crate) fn limit(&self) -> u32 {
        if self.drain.is_some() {
            return 0;
        }
        self.quota.min(self.health.limit())
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
        let step = u128::from(self.latency.log_step());
        Rank(u128::from(load) << 72 | step << 64 | u128::from(self.last_choice))
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
