//! Messages between the entries of a zone.

use crate::member::Entry;
use sassafrascrank_base::prelude::Time;

/// Asks one peer to confirm the view of the sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The process that asks.
    pub from: Entry,
    /// The process that must answer; another incarnation at the same address must not.
    pub to: Entry,
    /// Offset of the last record that changed the zone in the sender's view.
    pub revision: u64,
    /// When the sender started, by its own clock.
    pub start: Time,
}

/// What a peer says to a [`Request`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The process that answers.
    pub from: Entry,
    /// Revision of the request.
    pub revision: u64,
    /// Start of the request.
    pub start: Time,
    /// Whether the peer holds the same view and has no membership append in flight.
    pub agrees: bool,
}

/// An active member's word that it has read the join of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JoinAck {
    /// The active member.
    pub from: Entry,
    /// The entry that joined.
    pub to: Entry,
    /// The fence of the active member's own join.
    pub fence: Time,
}
