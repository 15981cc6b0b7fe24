//! Highest sequence of each writer, to recognise repeats.

use crate::record::{
    Origin,
    WriterState, //
};
use sassafrascrank_base::prelude::*;
use std::collections::BTreeMap;

/// Most writers and incarnations remembered.
///
/// A repeat of a forgotten writer can't come into force twice, since its bases no longer match; it is
/// reported as stale instead. At 170 restarts and 1,300 publishing tools a day a writer stays for over a day,
/// far longer than any append is retried.
pub const WRITER_LIMIT: usize = 4_096;

/// Writers kept when the limit is exceeded, those seen last.
const WRITER_KEEP: usize = WRITER_LIMIT / 2;

#[derive(Default)]
pub(super) struct Writers {
    seen: BTreeMap<(Name, u64), (u64, u64)>,
}

impl Writers {
    /// Notes a record and returns whether it is new.
    pub(super) fn note(&mut self, origin: &Origin, offset: u64) -> bool {
        let key = (origin.writer.clone(), origin.incarnation);
        let known = self.seen.get(&key).map_or(0, |&(sequence, _)| sequence);
        if origin.sequence <= known {
            return false;
        }
        self.seen.insert(key, (origin.sequence, offset));
        self.compact();
        true
    }

    pub(super) fn load(seen: Vec<WriterState>) -> Self {
        let entries = seen.into_iter();
        let seen = entries
            .map(|seen| {
                (
                    (seen.writer, seen.incarnation),
                    (seen.sequence, seen.offset),
                )
            })
            .collect();
        Self { seen }
    }

    pub(super) fn save(&self) -> Vec<WriterState> {
        let entries = self.seen.iter();
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
        if self.seen.len() <= WRITER_LIMIT {
            return;
        }
        let mut offsets: Vec<u64> = self.seen.values().map(|&(_, offset)| offset).collect();
        offsets.sort_unstable();
        let oldest = offsets[offsets.len() - WRITER_KEEP];
        self.seen.retain(|_, &mut (_, offset)| offset >= oldest);
    }
}
