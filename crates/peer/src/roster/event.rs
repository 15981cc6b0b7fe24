//! Events of the roster and its counters.

use sassafrascrank_claim::member::Entry;

/// A change of a peer on which the owner of the roster must act.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// No report has come from the entry for too long; its slots go to others.
    Lost(Entry),
    /// A lost entry has reported again.
    Found(Entry),
    /// The entry is a member of the own zone, has not reported for too long and should be retired from the view.
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
    /// Drain notices that were dropped because there were too many; the oldest go first.
    pub dropped_drain_notices: u64,
}
