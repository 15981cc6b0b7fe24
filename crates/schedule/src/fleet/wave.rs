//! A maintenance wave.

use sassafrascrank_base::prelude::*;
use std::{
    collections::BTreeSet,
    sync::Arc, //
};

/// A maintenance wave that operators requested, and its progress.
#[derive(Clone, Debug, Default)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// Names of the hosts that need maintenance.
    pub hosts: Vec<Arc<str>>,
    /// Time within which the maintenance of all hosts should be over.
    pub duration: Duration,
    /// Largest number of hosts in maintenance at once.
    pub cap: usize,
    /// When the wave was requested, as far as this process knows.
    pub since: Time,
    /// Hosts whose maintenance has begun.
    pub begun: BTreeSet<Arc<str>>,
    /// Whether the beginning of the wave was published.
    pub announced: bool,
    /// Whether the maintenance of all existing hosts has begun.
    pub done: bool,
}

impl Wave {
    /// Tells whether so much of the wave's time is over that it may end late.
    pub fn is_urgent(&self, now: Time) -> bool {
        now.since(self.since) * 2 > self.duration
    }
}
