//! Collection of items from the rings that the observe thread reads.

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

/// Largest number of events in a batch; further ones stay in their rings for the next batch.
const EVENTS_PER_BATCH_MAX: usize = 65_536;
/// Largest number of tables or status updates in a batch from one ring.
const ITEMS_PER_RING_MAX: usize = 64;

/// Reading ends of all rings of the observe thread, merged into batches in causal order.
#[derive(Debug)]
pub struct Collector {
    sources: Vec<Source>,
    /// Oldest event of each source, taken from its ring but not passed on yet.
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

    /// Tells whether all rings are empty and no event is held back.
    pub fn is_empty(&self) -> bool {
        self.heads.iter().all(Option::is_none)
            && self.sources.iter().all(Source::is_empty)
            && self.tables.iter().all(Receiver::is_empty)
            && self.updates.iter().all(Receiver::is_empty)
    }

    /// Takes the items that were recorded up to `now`, the current time.
    ///
    /// A thread records an event before it passes on its effect, so the cause of any event up to `now` is already in
    /// its ring. Later events are held back, since their causes may still arrive in a ring that was read before.
    pub fn batch(&mut self, now: Time) -> Batch {
        // Includes the events held back so far, which would otherwise wait until a clock that was set back catches up.
        let latest_held = self.heads.iter().flatten().map(|event| event.time).max();
        let cutoff = latest_held.map_or(now, |time| time.max(now));
        let mut batch = Batch::default();
        while batch.events.len() < EVENTS_PER_BATCH_MAX {
            let Some(event) = self.next_event(cutoff) else {
                break;
            };
            batch.events.push(event);
        }
        // A table is sent before its keys are used, so tables read after the events hold the names of all their keys.
        batch.tables = take_items(&mut self.tables);
        batch.updates = take_items(&mut self.updates);
        batch.dropped = self
            .sources
            .iter()
            .map(|source| (source.thread(), source.dropped()))
            .collect();
        batch
    }

    /// Takes the earliest event up to `cutoff`, without changing the order within a ring.
    fn next_event(&mut self, cutoff: Time) -> Option<Event> {
        for (head, source) in self.heads.iter_mut().zip(&mut self.sources) {
            if head.is_none() {
                *head = source.try_recv();
            }
        }
        let eligible = self
            .heads
            .iter_mut()
            .filter(|head| head.is_some_and(|event| event.time <= cutoff));
        let earliest =
            eligible.min_by_key(|head| head.map(|event| (event.time, event.kind.stage())))?;
        earliest.take()
    }
}

/// Takes up to `ITEMS_PER_RING_MAX` items from each ring.
fn take_items<T>(rings: &mut [Receiver<T>]) -> Vec<T> {
    let mut items = Vec::new();
    for ring in rings {
        items.extend(core::iter::from_fn(|| ring.try_recv()).take(ITEMS_PER_RING_MAX));
    }
    items
}
