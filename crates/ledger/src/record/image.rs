//! The whole state at one offset, as snapshots and peers carry it.

use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Subject,
    Value, //
};

/// Value in force, or the tombstone of a removed subject.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Revision {
    /// Offset of the change that set the value.
    pub offset: u64,
    /// Writer of that change.
    pub writer: Name,
    /// The value.
    pub value: Value,
}

/// Highest sequence of one writer and incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WriterState {
    /// Name of the writer.
    pub writer: Name,
    /// Incarnation of the writer.
    pub incarnation: u64,
    /// Highest sequence.
    pub sequence: u64,
    /// Offset of the record with that sequence.
    pub offset: u64,
}

/// Everything that a fold needs in order to continue after `through`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Image {
    /// Offset of the last record that is folded into the image.
    pub through: u64,
    /// Highest offset of a forgotten tombstone, 0 if none was forgotten; the basis of an absent subject.
    pub floor: u64,
    /// Values in force and tombstones, ordered by subject.
    pub values: Vec<(Subject, Revision)>,
    /// Writers, ordered by name and incarnation.
    pub writers: Vec<WriterState>,
}
