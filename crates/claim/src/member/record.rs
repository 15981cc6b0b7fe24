//! Records of the stream `member`.

use super::Entry;
use core::net::SocketAddr;
use sassafrascrank_base::prelude::Name;

/// One record with the sequence number of its writer.
///
/// A writer that repeats an append after a lost response keeps the sequence number, so that readers can ignore the
/// repeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Position among the records of this writer, from 1.
    pub sequence: u64,
    /// The change that the record makes.
    pub change: Change,
}

/// A change of membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// An entry joins a zone.
    Join {
        /// The entry, which is also the writer.
        entry: Entry,
        /// The zone of its host.
        zone: Name,
        /// Where it listens for callers.
        address: SocketAddr,
    },
    /// An entry leaves at a planned stop.
    Leave {
        /// The entry, which is also the writer.
        entry: Entry,
    },
    /// A member removes another member of its zone that it has not heard from.
    Retire {
        /// The removed entry.
        entry: Entry,
        /// The writer.
        by: Entry,
    },
}

impl Record {
    /// Returns the entry that wrote the record.
    pub const fn writer(&self) -> &Entry {
        match &self.change {
            Change::Join { entry, .. } | Change::Leave { entry } => entry,
            Change::Retire { by, .. } => by,
        }
    }
}
