//! Result of applying one record.

use super::Error;
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::Subject;

/// Result of applying one record; it is the same for every reader of the stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The change took effect.
    Accepted {
        /// Subjects whose values it set, in the order of its entries.
        subjects: Vec<Subject>,
    },
    /// The writer had not read the current value of a subject; the whole change is ignored.
    Stale {
        /// First subject whose basis differs.
        subject: Subject,
        /// Basis in the change.
        basis: u64,
        /// Offset of the current value.
        current: u64,
        /// Writer of the current value, if there is one.
        writer: Option<Name>,
    },
    /// The record was appended before; it is ignored.
    Repeat,
    /// The record is invalid and is ignored.
    Invalid(Error),
    /// The record is a snapshot. It replaces the state only if older records are missing.
    Snapshot {
        /// Whether the state was replaced; the reader then continues at [`State::next`](crate::State::next).
        adopted: bool,
    },
    /// Older records are missing, so the change can't be checked; it will be read again after a snapshot.
    Pending,
    /// The record at this offset was applied before; nothing changed.
    Old,
    /// Records before this offset were skipped although the log did not report them as deleted; nothing changed.
    Gap {
        /// Offset to read next.
        next: u64,
    },
}
