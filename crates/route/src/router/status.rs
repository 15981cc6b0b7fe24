//! State and counters of a router, for operators.

use super::{
    Attributes,
    DrainSource, //
};
use crate::health::HealthState;
use sassafrascrank_base::prelude::*;

/// Since when and why an upstream drains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Drain {
    /// When this entry first learned of it.
    pub since: Time,
    /// How this entry first learned of it.
    pub source: DrainSource,
}

/// State of one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// The upstream.
    pub upstream: upstream::Key,
    /// Its availability zone and size.
    pub attributes: Attributes,
    /// Slots of it that this entry may use.
    pub quota: u32,
    /// Slots that this entry uses.
    pub running: u32,
    /// Since when it drains, if it does.
    pub drain: Option<Drain>,
    /// Whether its health lets it take requests.
    pub state: HealthState,
    /// Average time until it answers, if it has answered.
    pub latency: Option<Duration>,
}

/// Numbers of events since the router was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Slots taken.
    pub chosen: u64,
    /// Slots taken outside of the entry's own availability zone.
    pub spilled: u64,
    /// Choices that found no upstream with a free slot.
    pub exhausted: u64,
    /// Ejections.
    pub ejected: u64,
    /// Ejections that did not happen because of the limit on ejections.
    pub withheld: u64,
    /// Probes sent.
    pub probes: u64,
    /// Returns to full service.
    pub recovered: u64,
    /// Ejected upstreams returned early because the pool shrank.
    pub reinstated: u64,
    /// Upstreams that began to drain, by [`DrainSource`] in the order of its declaration.
    pub drained: [u64; 4],
    /// Calls that named an unknown upstream.
    pub unknown: u64,
    /// Upstreams that were not added because the router had too many upstreams or zones.
    pub refused: u64,
}
