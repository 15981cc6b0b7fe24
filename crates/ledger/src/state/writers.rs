//! Highest sequence number of each writer, used to detect repeated records.

use crate::record::{
    Origin,
    WriterState, //
};
use sassafrascrank_base::prelude::*;
use std::collections::BTreeMap;

/// Most incarnations of writers that are kept.
///
/// A repeated record of a discarded writer can't take effect twice, because its bases no longer match; it is reported
/// as stale instead. At 170 restarts and 1,300 publishing tools a day, a writer is kept for over a day, far longer than
/// any append is retried.
pub const WRITER_LIMIT: usize = 4_096;

/// Writers kept when the limit is exceeded, those with the newest records.
const WRITERS_AFTER_COMPACTION: usize = WRITER_LIMIT / 2;

#[derive(Default)]
pub(super) struct Writers {
    /// Sequence number and offset of the latest record, by writer and incarnation.
    sequences: BTreeMap<(Name, u64), (u64, u64)>,
}

impl Writers {
    /// Records the sequence number of a record and returns whether the record is new.
    pub(super) fn record(&mut self, origin: &Origin, offset: u64) -> bool {
        let key = (origin.writer.clone(), origin.incarnation);
        let known = self
            .sequences
            .get(&key)
            .map_or(0, |&(sequence, _)| sequence);
        if origin.sequence <= known {
            return false;
        }
        self.sequences.insert(key, (origin.sequence, offset));
        self.compact();
        true
    }

    pub(super) fn from_states(states: Vec<WriterState>) -> Self {
        let entries = states.into_iter();
        let sequences = entries
            .map(|state| {
                (
                    (state.writer, state.incarnation),
                    (state.sequence, state.offset),
                )
            })
            .collect();
        Self { sequences }
    }

    pub(super) fn to_states(&self) -> Vec<WriterState> {
        let entries = self.sequences.iter();
        entries
            .map(|((writer, incarnation), &(sequence, offset))| WriterState {
                writer: writer.clone(),
                incarnation: *incarnation,
                sequence,
                offset,
            })
            .collect()
    }

    fn compact(&mut self) {
        if self.sequences.len() <= WRITER_LIMIT {
            return;
        }
        let mut offsets: Vec<u64> = self.sequences.values().map(|&(_, offset)| offset).collect();
        offsets.sort_unstable();
        let oldest = offsets[offsets.len() - WRITERS_AFTER_COMPACTION];
        self.sequences
            .retain(|_, &mut (_, offset)| offset >= oldest);
    }
}
