//! Reader that follows one topic.

use super::{
    Event,
    sender::EventSender, //
};
use crate::{
    clock::Clock,
    port::{
        Item,
        Log,
        OperatorRecord,
        Page,
        ReadError,
        Topic, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::record;
use sassafrascrank_roster::seat;
use sassafrascrank_schedule::runner;
use std::{
    cell::Cell,
    rc::Rc, //
};
use tokio::{
    sync::Notify,
    time::{
        sleep,
        timeout, //
    },
};

/// Pause before a read is repeated after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Handle to the task that follows a topic. The task takes the values before each read.
pub(super) struct Handle {
    /// Generation of the reads; `None` if the topic is not read. The first read of a generation is of the whole topic,
    /// since the receiver of its events knows nothing of earlier generations.
    pub(super) generation: Cell<Option<u64>>,
    /// Shortest time between the beginnings of two reads.
    pub(super) interval: Cell<Duration>,
    /// How long a read waits for a record.
    pub(super) wait: Cell<Duration>,
    /// Ends the present pause between two reads.
    pub(super) wake: Notify,
}

impl Handle {
    pub(super) fn new(generation: Option<u64>, interval: Duration, wait: Duration) -> Rc<Self> {
        Rc::new(Self {
            generation: Cell::new(generation),
            interval: Cell::new(interval),
            wait: Cell::new(wait),
            wake: Notify::new(),
        })
    }
}

/// Follows a topic until the thread ends.
pub(super) async fn follow<L: Log>(
    mut log: L,
    topic: Topic,
    handle: Rc<Handle>,
    clock: Clock,
    events: EventSender,
) {
    // The generation of the last read, and the offset after it.
    let mut position: Option<(u64, u64)> = None;
    let mut failures = 0;
    loop {
        let Some(generation) = handle.generation.get() else {
            handle.wake.notified().await;
            continue;
        };
        let next = position.and_then(|(read, next)| (read == generation).then_some(next));
        let started = clock.now();
        let result = match next {
            None => log.newest(topic).await,
            Some(from) => log.read(topic, from, handle.wait.get()).await,
        };
        match result {
            // The receiver no longer expects the records of this generation.
            Ok(_) if handle.generation.get() != Some(generation) => position = None,
            Ok(page) => {
                failures = 0;
                let complete = next.is_none();
                position = Some((generation, page.next));
                let last = page.is_last();
                pass_on::<L>(topic, generation, page, started, complete, &events).await;
                if !last {
                    continue;
                }
                let spent = clock.now().since(started);
                let pause = handle.interval.get().saturating_sub(spent);
                if !pause.is_zero() {
                    // A refresh ends the pause early.
                    let _ = timeout(pause, handle.wake.notified()).await;
                }
            }
            Err(ReadError::Expired) => position = None,
            Err(ReadError::Unavailable(reason)) => {
                // Of operators and runners only the latest record of each key counts. These are fewer than all records
                // that were missed.
                if topic != Topic::Jobs {
                    position = None;
                }
                failures += 1;
                let took = clock.now().since(started);
                let event = Event::ReadFailed {
                    topic,
                    failures,
                    took,
                    reason,
                };
                events.send(event).await;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Decodes the records of a page and sends them to the control thread. A record that can't be decoded is skipped and
/// reported.
async fn pass_on<L: Log>(
    topic: Topic,
    generation: u64,
    page: Page,
    started: Time,
    complete: bool,
    events: &EventSender,
) {
    let mut skipped = Vec::new();
    let last = page.is_last();
    let event = match topic {
        Topic::Jobs => {
            let mut records = Vec::with_capacity(page.items.len());
            for item in &page.items {
                match record::decode(&item.key, &item.value) {
                    Ok(record) => records.extend(record.map(|record| (item.offset, record))),
                    Err(error) => skipped.push(error.to_string()),
                }
            }
            Event::Jobs {
                records,
                started,
                complete,
                last,
            }
        }
        Topic::Seats => Event::Seats {
            records: seats(&page.items, &mut skipped),
            started,
            last,
        },
        Topic::Operator => Event::Operator {
            records: operator_records::<L>(&page.items, &mut skipped),
            started,
            last,
        },
        Topic::Runners => Event::Runners {
            claim: generation,
            changes: runner_changes::<L>(&page.items, &mut skipped),
            complete,
        },
    };
    for reason in skipped {
        events.send(Event::Skipped { topic, reason }).await;
    }
    events.send(event).await;
}

fn seats(items: &[Item], skipped: &mut Vec<String>) -> Vec<(seat::Key, Option<seat::Candidate>)> {
    let mut records = Vec::new();
    for item in items {
        match seat::decode(&item.key, &item.value) {
            Ok(record) => records.push(record),
            Err(error) => skipped.push(error.to_string()),
        }
    }
    records
}

fn operator_records<L: Log>(items: &[Item], skipped: &mut Vec<String>) -> Vec<OperatorRecord> {
    let mut records = Vec::new();
    for item in items {
        match L::operator_record(item) {
            Ok(record) => records.extend(record),
            Err(reason) => skipped.push(reason),
        }
    }
    records
}

fn runner_changes<L: Log>(items: &[Item], skipped: &mut Vec<String>) -> Vec<runner::Change> {
    let mut changes = Vec::new();
    for item in items {
        match L::runner(item) {
            Ok(change) => changes.push(change),
            Err(reason) => {
                skipped.push(reason);
                // The record has replaced the one that described the runner, so the runner must no longer be used.
                changes.push(runner::Change::Removed(item.key.as_str().into()));
            }
        }
    }
    changes
}
