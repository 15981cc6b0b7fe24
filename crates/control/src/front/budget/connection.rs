//! Connections as the budget knows them.

use sassafrascrank_base::prelude::*;

slotmap::new_key_type! {
    /// Identifies an open connection within one budget.
    pub struct Key;
}

/// Who sends the requests of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another entry, which passes the request of a caller on. It is not passed on again.
    Entry,
    /// The readiness probe.
    Probe,
}

impl Origin {
    pub(super) const COUNT: usize = 3;

    pub(super) fn index(self) -> usize {
        match self {
            Self::Caller => 0,
            Self::Entry => 1,
            Self::Probe => 2,
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// It is new and has sent no complete head.
    Head,
    /// The body of its request is incomplete.
    Body,
    /// Its request is complete and may take effect.
    Complete,
    /// Its latest request has been answered.
    Idle,
    /// It has to close.
    Evicted,
}

/// An open connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    pub(super) origin: Origin,
    pub(super) phase: Phase,
    /// When the phase began.
    pub(super) since: Time,
    /// Bytes that its request holds.
    pub(super) held: usize,
}
