//! State of one keyed request, and the decision on a further request with the same key.

use sassafrascrank_base::prelude::{
    Refusal,
    ticket, //
};

slotmap::new_key_type! {
    /// Key of a request in the arena of one table; after the request is dropped, it finds nothing.
    pub struct Slot;
}

/// Digest of the customer and the whole request, computed by the user of this crate.
///
/// It must come from a cryptographic hash, since a collision would return the answer of another request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u128);

/// An answer whose size counts against the bounds of the table.
pub trait Size {
    /// Returns the size of the answer in bytes.
    fn size(&self) -> usize;
}

/// State of a keyed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestState<A> {
    /// It is running under the ticket.
    Running(ticket::Key),
    /// An upstream answered; the answer is stored.
    Answered(A),
    /// An upstream answered; the answer was too large to be stored.
    Dropped,
    /// It may have run; its outcome is unknown.
    Lost,
}

/// Decision on a keyed request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Run it and report its end for the slot.
    Run(Slot),
    /// Wait for the request with the same key that is running under the ticket.
    Wait(ticket::Key),
    /// Return the stored answer.
    Replay(Slot),
    /// Refuse it.
    Refuse(Refusal),
}
