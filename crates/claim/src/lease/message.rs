//! Lease messages between the entries of a zone.

use crate::member::Entry;
use sassafrascrank_base::prelude::Time;

/// Request to one peer to confirm the membership view of the sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The process that asks.
    pub from: Entry,
    /// The process that must answer; another incarnation at the same address must not.
    pub to: Entry,
    /// Offset of the last record that changed the zone in the sender's view.
    pub revision: u64,
    /// When the sender started this confirmation, by its own clock.
    pub start: Time,
}

/// Answer of a peer to a [`Request`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The process that answers.
    pub from: Entry,
    /// Revision that the request named.
    pub revision: u64,
    /// Start time that the request named.
    pub start: Time,
    /// Whether the peer holds the same view and has no membership append in flight.
    pub agrees: bool,
}

/// Acknowledgement by an active member that it has read the join of an entry.
///
/// From then on, the active member starts no key that the new entry owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JoinAck {
    /// The active member that acknowledges.
    pub from: Entry,
    /// The entry that joined.
    pub to: Entry,
    /// The fence of the active member's own join.
    pub fence: Time,
}
