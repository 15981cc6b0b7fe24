//! Appends with a sequence, repeated until their fate is known.

use super::{
    Event,
    Written,
    lane::Lane,
    outlet::Outlet, //
};
use crate::{
    clock::Clock,
    port::{
        AppendError,
        Log,
        Producer, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Record,
    record, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
};
use tokio::{
    sync::Notify,
    time::sleep, //
};

/// Name under which leaders append; it passes from one to the next.
const LEADER: &str = "leader";
/// Records of callers in one append.
const BATCH_LIMIT: usize = 64;
/// Bytes of one append of the leader, below the log's limit of 2 MiB.
const CHUNK_LIMIT: usize = 1 << 20;
/// Time for which a refused append of a caller's record is tried, a quarter of the shortest objective.
const PATIENCE: Duration = Duration::from_millis(150);
/// Pause after a refusal.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);

/// A queue within one thread.
pub(super) struct Queue<T> {
    items: RefCell<VecDeque<T>>,
    wake: Notify,
}

impl<T> Queue<T> {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            items: RefCell::default(),
            wake: Notify::new(),
        })
    }

    pub(super) fn push(&self, item: T) {
        self.items.borrow_mut().push_back(item);
        self.wake.notify_one();
    }

    pub(super) fn clear(&self) {
        self.items.borrow_mut().clear();
    }

    fn take(&self, limit: usize) -> Vec<T> {
        let mut items = self.items.borrow_mut();
        let count = items.len().min(limit);
        items.drain(..count).collect()
    }

    async fn wait(&self) {
        while self.items.borrow().is_empty() {
            self.wake.notified().await;
        }
    }
}

/// A caller's record that waits.
pub(super) struct Accept {
    pub(super) token: u64,
    pub(super) record: Record,
    pub(super) since: Time,
}

/// Appends callers' records until the thread ends.
pub(super) async fn accept<L: Log>(
    mut lane: Lane<L>,
    mut producer: Producer,
    queue: Rc<Queue<Accept>>,
    clock: Clock,
    outlet: Outlet,
) {
    loop {
        queue.wait().await;
        let batch = queue.take(BATCH_LIMIT);
        let records: Vec<_> = batch
            .iter()
            .map(|item| record::encode(&item.record))
            .collect();
        let started = clock.now();
        let mut doubtful = false;
        let stored = loop {
            match lane.append(&producer, &records).await {
                Ok(()) => {
                    producer.sequence += 1;
                    break true;
                }
                Err(AppendError::Sequence { expected }) if expected > producer.sequence => {
                    producer.sequence = expected;
                    break true;
                }
                Err(AppendError::Sequence { expected }) => producer.sequence = expected,
                Err(AppendError::Refused(_)) => {
                    if !doubtful && clock.now().since(started) >= PATIENCE {
                        break false;
                    }
                    sleep(REFUSED_PAUSE).await;
                }
                Err(AppendError::Unknown(_) | AppendError::Fenced) => {
                    doubtful = true;
                }
            }
            refuse_late(&queue, &clock, &outlet).await;
        };
        for item in batch {
            let token = item.token;
            outlet.send(Event::Accepted { token, stored }).await;
        }
    }
}

/// Refuses records that wait behind an append without an answer: they were not sent, and callers do better elsewhere.
async fn refuse_late(queue: &Queue<Accept>, clock: &Clock, outlet: &Outlet) {
    let limit = clock.now() - PATIENCE;
    let late: Vec<u64> = {
        let mut items = queue.items.borrow_mut();
        let late = items.iter().filter(|item| item.since < limit);
        let tokens: Vec<u64> = late.map(|item| item.token).collect();
        items.retain(|item| item.since >= limit);
        tokens
    };
    for token in late {
        let stored = false;
        outlet.send(Event::Accepted { token, stored }).await;
    }
}

/// What the leader appends next.
pub(super) struct Write {
    pub(super) epoch: u64,
    pub(super) records: Vec<Record>,
}

/// Appends the leader's records until the thread ends. `epoch` holds the epoch that leads, 0 for none.
pub(super) async fn write<L: Log>(
    mut lane: Lane<L>,
    queue: Rc<Queue<Write>>,
    epoch: Rc<Cell<u64>>,
    clock: Clock,
    outlet: Outlet,
) {
    let mut producer = Producer {
        name: Arc::from(LEADER),
        epoch: 0,
        sequence: 0,
    };
    loop {
        queue.wait().await;
        for next in queue.take(1) {
            if next.epoch != epoch.get() {
                continue;
            }
            if producer.epoch != next.epoch {
                producer.epoch = next.epoch;
                producer.sequence = 0;
            }
            let started = clock.now();
            let current = Current(&epoch);
            let result = current.write(&mut lane, &mut producer, &next.records).await;
            if let Some(result) = result {
                let epoch = next.epoch;
                outlet
                    .send(Event::Written {
                        epoch,
                        started,
                        result,
                    })
                    .await;
            }
        }
    }
}

/// The epoch that leads, against which an append of the leader is checked.
struct Current<'a>(&'a Cell<u64>);

impl Current<'_> {
    /// Appends records in chunks. Returns `None` if the role was given up meanwhile.
    async fn write<L: Log>(
        &self,
        lane: &mut Lane<L>,
        producer: &mut Producer,
        records: &[Record],
    ) -> Option<Written> {
        for chunk in chunks(records) {
            let result = self.append(lane, producer, &chunk).await?;
            if result == Written::Fenced {
                return Some(result);
            }
        }
        Some(Written::Stored)
    }

    async fn append<L: Log>(
        &self,
        lane: &mut Lane<L>,
        producer: &mut Producer,
        chunk: &[(String, Vec<u8>)],
    ) -> Option<Written> {
        loop {
            match lane.append(producer, chunk).await {
                Ok(()) => {
                    producer.sequence += 1;
                    return Some(Written::Stored);
                }
                Err(AppendError::Fenced) => return Some(Written::Fenced),
                Err(AppendError::Sequence { expected }) if expected > producer.sequence => {
                    producer.sequence = expected;
                    return Some(Written::Stored);
                }
                Err(AppendError::Sequence { expected }) => producer.sequence = expected,
                Err(AppendError::Refused(_)) => sleep(REFUSED_PAUSE).await,
                Err(AppendError::Unknown(_)) => {}
            }
            if self.0.get() != producer.epoch {
                return None;
            }
        }
    }
}

/// Encodes records and divides them into appends of a bounded size.
fn chunks(records: &[Record]) -> Vec<Vec<(String, Vec<u8>)>> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut size = 0;
    for encoded in records.iter().flat_map(encode) {
        let length = encoded.0.len() + encoded.1.len();
        if size + length > CHUNK_LIMIT && !chunk.is_empty() {
            chunks.push(core::mem::take(&mut chunk));
            size = 0;
        }
        size += length;
        chunk.push(encoded);
    }
    chunks.push(chunk);
    chunks
}

/// Encodes a record; a job that is forgotten takes all its keys along.
fn encode(value: &Record) -> Vec<(String, Vec<u8>)> {
    match value {
        Record::Forget(id) => {
            let keys = record::keys(*id).into_iter();
            keys.map(|key| (key, Vec::new())).collect()
        }
        other => vec![record::encode(other)],
    }
}
