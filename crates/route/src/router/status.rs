//! What an operator sees of a router.

use super::{
    Attributes,
    DrainSource, //
};
use crate::health::HealthState;
use sassafrascrank_base::prelude::*;

/// Since when and why an upstream drains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Drain {
    /// When the first source came.
    pub since: Time,
    /// The first source.
    pub source: DrainSource,
}

/// State of one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// The upstream.
    pub upstream: upstream::Key,
    /// Its place and size.
    pub attributes: Attributes,
    /// Slots of it that this entry may use.
    pub quota: u32,
    /// Slots that this entry uses.
    pub running: u32,
    /// Whether it drains.
    pub drain: Option<Drain>,
    /// Whether its health lets it take work.
    pub state: HealthState,
    /// Learned time of an answer, if it has answered.
    pub latency: Option<Duration>,
}

/// Numbers of events since the router was made.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Slots taken.
    pub chosen: u64,
    /// Slots taken outside of the entry's own availability zone.
    pub spilled: u64,
    /// Choices without a usable upstream.
    pub exhausted: u64,
    /// Ejections.
    pub ejected: u64,
    /// Failures that would have ejected an upstream but for the limit on ejections.
    pub withheld: u64,
    /// Probes sent.
    pub probes: u64,
    /// Returns to full service.
    pub recovered: u64,
    /// Ejected upstreams returned early because the pool shrank.
    pub reinstated: u64,
    /// First drain signs, in the order of the declaration of [`DrainSource`].
    pub drained: [u64; 4],
    /// Calls that named an unknown upstream.
    pub unknown: u64,
    /// Upstreams not inserted because the router or its list of zones was full.
    pub refused: u64,
}
