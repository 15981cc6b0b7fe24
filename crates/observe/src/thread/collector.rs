//! Rings that the observe thread reads.

use crate::{
    event::{
        Event,
        Source, //
    },
    names::Table,
    observer::message::Batch,
    status::Update, //
};
use sassafrascrank_base::prelude::Time;
use sassafrascrank_ring::Receiver;

/// Events drained at once; more wait in their rings for the next batch.
const EVENT_LIMIT: usize = 65_536;
/// Tables or status updates drained at once from one ring.
const CONTROL_LIMIT: usize = 64;

/// All rings of the observe thread.
#[derive(Debug)]
pub struct Collector {
    sources: Vec<Source>,
    /// Oldest event of each source, taken from its ring but not drained yet.
    heads: Vec<Option<Event>>,
    tables: Vec<Receiver<Table>>,
    updates: Vec<Receiver<Update>>,
}

impl Collector {
    /// Creates the collector of these rings.
    pub fn new(
        sources: Vec<Source>,
        tables: Vec<Receiver<Table>>,
        updates: Vec<Receiver<Update>>,
    ) -> Self {
        Self {
            heads: vec![None; sources.len()],
            sources,
            tables,
            updates,
        }
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.heads.iter().all(Option::is_none)
            && self.sources.iter().all(Source::is_empty)
            && self.tables.iter().all(Receiver::is_empty)
            && self.updates.iter().all(Receiver::is_empty)
    }

    /// Takes what was recorded up to `now`, the present time.
    ///
    /// A thread records an event before it passes on the effect, so when an effect of before `now` is found, its
    /// cause is already in its ring. Later events are held back, since their causes may follow in a ring that was
    /// already looked at.
    pub fn batch(&mut self, now: Time) -> Batch {
        // After the clock was set back, held events would otherwise wait until it has caught up.
        let held = self.heads.iter().flatten().map(|event| event.time).max();
        let cutoff = held.map_or(now, |held| held.max(now));
        let mut batch = Batch::default();
        while batch.events.len() < EVENT_LIMIT {
            let Some(event) = self.next(cutoff) else {
                break;
            };
            batch.events.push(event);
        }
        // A table is sent before its keys are used, so reading tables after events finds the names of all events.
        batch.tables = take(&mut self.tables);
        batch.updates = take(&mut self.updates);
        batch.dropped = self
            .sources
            .iter()
            .map(|source| (source.thread(), source.dropped()))
            .collect();
        batch
    }

    /// Takes the earliest event up to `cutoff`; the order within a ring stays.
    fn next(&mut self, cutoff: Time) -> Option<Event> {
        for (head, source) in self.heads.iter_mut().zip(&mut self.sources) {
            if head.is_none() {
                *head = source.try_recv();
            }
        }
        let waiting = self
            .heads
            .iter_mut()
            .filter(|head| head.is_some_and(|event| event.time <= cutoff));
        let earliest =
            waiting.min_by_key(|head| head.map(|event| (event.time, event.kind.stage())))?;
        earliest.take()
    }
}

/// Takes up to `CONTROL_LIMIT` items from each ring.
fn take<T>(rings: &mut [Receiver<T>]) -> Vec<T> {
    let mut items = Vec::new();
    for ring in rings {
        items.extend(core::iter::from_fn(|| ring.try_recv()).take(CONTROL_LIMIT));
    }
    items
}
