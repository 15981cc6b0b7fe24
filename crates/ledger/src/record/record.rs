//! Change and snapshot records.

use super::{
    Image,
    Origin, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Subject,
    Value, //
};

/// New value of one subject.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Subject of the value.
    pub subject: Subject,
    /// Offset of the subject's value that the writer had read; see [`State::basis`](crate::State::basis).
    pub basis: u64,
    /// The new value.
    pub value: Value,
}

/// Values that take effect together or not at all.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Identity of the record.
    pub origin: Origin,
    /// New values, each subject once.
    pub entries: Vec<Entry>,
}

/// Whole state, for processes that start after the log has deleted older records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Identity of the record.
    pub origin: Origin,
    /// When it was written, by the writer's clock. It is used only to decide when the next snapshot is due.
    pub written: Time,
    /// The state and the offset of the last record that it includes.
    pub image: Image,
}

/// Record of the stream `config`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Record {
    /// Change of one or more values.
    Change(Change),
    /// Copy of the whole state.
    Snapshot(Snapshot),
}

impl Record {
    /// Returns the identity of the record.
    pub fn origin(&self) -> &Origin {
        match self {
            Self::Change(change) => &change.origin,
            Self::Snapshot(snapshot) => &snapshot.origin,
        }
    }
}
