//! What the table knows of one keyed request.

use sassafrascrank_base::prelude::{
    Refusal,
    ticket, //
};

slotmap::new_key_type! {
    /// Identifies a keyed request within one table; a stale one finds nothing.
    pub struct Slot;
}

/// Digest of the customer and the whole request, computed by the caller of this crate.
///
/// It must come from a cryptographic hash, since a collision would hand out another request's answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u128);

/// An answer whose size is known.
pub trait Size {
    /// Returns the number of bytes that the answer holds.
    fn size(&self) -> usize;
}

/// What became of a keyed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestState<A> {
    /// The attempt runs under the ticket.
    Running(ticket::Key),
    /// An upstream answered.
    Answered(A),
    /// An upstream answered with a body that is too large to keep.
    Dropped,
    /// The attempt may have run; its outcome is not known.
    Lost,
}

/// What to do with a keyed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Run it and report its end under the slot.
    Run(Slot),
    /// Wait for the running attempt.
    Wait(ticket::Key),
    /// Return the stored answer.
    Replay(Slot),
    /// Refuse it.
    Refuse(Refusal),
}
