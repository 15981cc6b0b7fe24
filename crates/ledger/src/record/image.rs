//! The whole state at one offset, as contained in snapshots and sent by peers.

use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Subject,
    Value, //
};

/// Current value of a subject, or the tombstone of a removed one, with its origin.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Revision {
    /// Offset of the change that set the value.
    pub offset: u64,
    /// Writer of that change.
    pub writer: Name,
    /// The value; [`Value::Removed`] for a tombstone.
    pub value: Value,
}

/// Highest sequence number seen from one incarnation of a writer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WriterState {
    /// Name of the writer.
    pub writer: Name,
    /// Incarnation of the writer.
    pub incarnation: u64,
    /// Highest sequence number of its records.
    pub sequence: u64,
    /// Offset of the record with that sequence number.
    pub offset: u64,
}

/// Everything that a reader needs in order to continue after the offset `through`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Image {
    /// Offset of the last record that the image includes.
    pub through: u64,
    /// Highest offset of a discarded tombstone, 0 if none was discarded. It is the basis of an absent subject.
    pub floor: u64,
    /// Current values and tombstones, ordered by subject.
    pub values: Vec<(Subject, Revision)>,
    /// State of each writer, ordered by name and incarnation.
    pub writers: Vec<WriterState>,
}
