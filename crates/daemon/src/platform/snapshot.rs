//! Snapshots of the membership in the stream `member`, so that the membership outlives the log's retention.

use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::member::{
    Entry,
    View, //
};
use sassafrascrank_peer::wire;
use serde::{
    Deserialize,
    Serialize, //
};

/// Records after which a snapshot is due: an eighth of the least number that the log retains.
const RECORD_LIMIT: u64 = 1_024;
/// Age of the latest snapshot at which a new one is due: a quarter of the seven days that the log retains at least.
const AGE_LIMIT: Duration = Duration::from_secs(42 * 3_600);
/// Upper bound of the delay by which a process lets others write a due snapshot first.
const JITTER_LIMIT: Duration = Duration::from_secs(600);

/// A membership view with the time at which it was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Snapshot {
    /// When it was written, by the writer's clock.
    pub(super) written: Time,
    /// Membership at the offset of the view.
    pub(super) view: View,
}

/// Record as it is stored in the log.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Record {
    Snapshot(Body),
}

#[derive(Deserialize, Serialize)]
struct Body {
    host: String,
    incarnation: u64,
    written_ms: u64,
    view: wire::View,
}

impl Snapshot {
    /// Encodes the snapshot as the JSON text of a record.
    pub(super) fn encode(&self, writer: &Entry) -> Option<String> {
        let record = Record::Snapshot(Body {
            host: writer.host.to_string(),
            incarnation: writer.incarnation,
            written_ms: self.written.as_millis(),
            view: (&self.view).into(),
        });
        serde_json::to_string(&record).ok()
    }

    /// Decodes a record; returns `None` if it is not a snapshot or its view is invalid.
    pub(super) fn decode(text: &str) -> Option<Self> {
        let Record::Snapshot(body) = serde_json::from_str(text).ok()?;
        Some(Self {
            written: Time::from_millis(body.written_ms),
            view: body.view.try_into().ok()?,
        })
    }
}

/// Decides when this process writes a snapshot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    /// Offset and time of the latest snapshot that was read.
    latest: Option<(u64, Time)>,
    start: Time,
    jitter: Duration,
}

impl Schedule {
    pub(super) fn new(start: Time, seed: u64) -> Self {
        Self {
            latest: None,
            start,
            jitter: Duration::from_millis(seed % JITTER_LIMIT.as_secs() * 1_000),
        }
    }

    pub(super) fn observe(&mut self, offset: u64, written: Time) {
        self.latest = Some((offset, written));
    }

    /// Returns whether a snapshot of the view at `offset` is due.
    pub(super) fn is_due(&self, now: Time, offset: u64) -> bool {
        match self.latest {
            Some((latest, written)) => {
                offset.saturating_sub(latest) > RECORD_LIMIT
                    || now.since(written) > AGE_LIMIT + self.jitter
            }
            None => offset > RECORD_LIMIT || now.since(self.start) > self.jitter + JITTER_LIMIT,
        }
    }
}
