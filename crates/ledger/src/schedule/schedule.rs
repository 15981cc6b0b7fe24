//! Decides when a process writes a snapshot.

use crate::{
    State,
    Status, //
};
use sassafrascrank_base::{
    hash::mix,
    prelude::*, //
};

/// Upper limit of the random delay before a snapshot is written. It is long enough that, of eight processes, the others
/// read the first one's snapshot before they write their own.
const JITTER_LIMIT: Duration = Duration::from_secs(600);

/// Records that the log is guaranteed to keep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retention {
    /// Number of newest records.
    pub records: u64,
    /// Age up to which records are kept.
    pub age: Duration,
}

/// Decides when this process writes a snapshot.
///
/// A snapshot is due when the last one is older than a quarter of the retention, by number of records or by time. Each
/// process adds a random delay of at most a sixteenth of the retention, so that not all processes write a snapshot at
/// once. The last snapshot is therefore replaced before a third of the retention has passed.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    max_records: u64,
    max_age: Duration,
    jitter: Duration,
    start: Time,
}

impl Schedule {
    /// Creates the schedule of a process that started at `start`; `seed` should differ between processes.
    pub fn new(retention: Retention, seed: u64, start: Time) -> Self {
        let jitter = (retention.age / 16).min(JITTER_LIMIT);
        let span = u64::try_from(jitter.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(mix(seed) % span.saturating_add(1));
        let record_jitter = (retention.records / 16).saturating_add(1);
        Self {
            max_records: retention.records / 4 + mix(seed ^ u64::MAX) % record_jitter,
            max_age: retention.age / 4 + jitter,
            jitter,
            start,
        }
    }

    /// Returns whether this process should write a snapshot now.
    pub fn is_due(&self, state: &State, now: Time) -> bool {
        if state.status() != Status::Complete || state.through() == 0 {
            return false;
        }
        match state.newest_snapshot() {
            Some((offset, written)) => {
                let records = state.through().saturating_sub(offset);
                records > self.max_records || now.since(written) > self.max_age
            }
            None => state.through() > self.max_records || now.since(self.start) > self.jitter,
        }
    }
}
