//! What the roster notices, and its counters.

use sassafrascrank_claim::member::Entry;

/// A change that the owner of the roster acts on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The entry has been silent for too long; its slots go to others.
    Lost(Entry),
    /// A lost entry was heard again.
    Found(Entry),
    /// The member of the own zone should be retired.
    Retire(Entry),
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Exchanges that succeeded, in either direction.
    pub exchanged: u64,
    /// Exchanges that failed.
    pub failed: u64,
    /// Members and seeds that were ignored because there were too many.
    pub ignored_peers: u64,
    /// Drain signs that were dropped because there were too many; the oldest go first.
    pub dropped_drain_notices: u64,
}
