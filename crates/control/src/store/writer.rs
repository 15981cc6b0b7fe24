//! Tasks that append callers' records and the leader's records. Each append has a sequence number, and is repeated
//! until its result is known.

use super::{
    Event,
    Written,
    appender::Appender,
    sender::EventSender, //
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
    pin::pin,
    rc::Rc,
    sync::Arc,
};
use tokio::{
    sync::Notify,
    time::{
        Instant,
        sleep, //
    },
};

/// Producer name that all leaders append under, so that the log rejects appends of former leaders.
const LEADER_NAME: &str = "leader";
/// Largest number of callers' records in one append.
const BATCH_LIMIT: usize = 256;
/// Largest size of one append by default, which a single larger record exceeds. A link of 10 Mbit/s transfers it in 0.1 s, so
/// it arrives before the append is given up and repeated.
pub const CHUNK_LIMIT_BYTES: usize = 128 << 10;
/// Time for which a caller's record is retried while the log refuses it. It is a quarter of the shortest objective, so that
/// the caller can still try another entry.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(150);
/// Bounds of the time for which a caller's record may wait behind an append without an answer; between them, it is that of two
/// appends. A caller that is refused within a second can still try another entry.
const TURN_TIMEOUT_MIN: Duration = Duration::from_millis(400);
const TURN_TIMEOUT_MAX: Duration = Duration::from_millis(900);
/// Time between two searches for records that have waited too long.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before an append that the log refused or rejected is retried.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);

/// Queue between tasks of one thread.
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

    fn take(&self) -> Option<T> {
        self.items.borrow_mut().pop_front()
    }

    async fn wait(&self) {
        while self.items.borrow().is_empty() {
            self.wake.notified().await;
        }
    }
}

/// A caller's record that waits to be appended.
pub(super) struct Accept {
    pub(super) token: u64,
    pub(super) record: Record,
    pub(super) since: Instant,
}

impl Queue<Accept> {
    /// Removes records of up to `limit` bytes for one append, and returns their tokens and the encoded records.
    fn take_batch(&self, limit: usize) -> (Vec<u64>, Vec<(String, Vec<u8>)>) {
        let mut items = self.items.borrow_mut();
        let (mut tokens, mut records) = (Vec::new(), Vec::new());
        let mut size = 0;
        while let Some(item) = items.front() {
            let encoded = record::encode(&item.record);
            size += encoded.0.len() + encoded.1.len();
            let full = records.len() == BATCH_LIMIT || size > limit;
            if full && !records.is_empty() {
                break;
            }
            tokens.push(item.token);
            records.push(encoded);
            items.pop_front();
        }
        (tokens, records)
    }
}

/// Appends callers' records, up to `limit` bytes at once, until the thread ends.
pub(super) async fn accept<L: Log>(
    mut appender: Appender<L>,
    mut producer: Producer,
    limit: usize,
    queue: Rc<Queue<Accept>>,
    events: EventSender,
) {
    loop {
        queue.wait().await;
        let (tokens, records) = queue.take_batch(limit);
        let started = Instant::now();
        let mut doubtful = false;
        let stored = loop {
            let turn = (appender.usual() * 2).clamp(TURN_TIMEOUT_MIN, TURN_TIMEOUT_MAX);
            let append = appender.append(&producer, &records);
            match refuse_meanwhile(append, &queue, turn, &events).await {
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
                    if !doubtful && started.elapsed() >= ACCEPT_TIMEOUT {
                        break false;
                    }
                    sleep(REFUSED_PAUSE).await;
                }
                Err(AppendError::Unknown(_)) => doubtful = true,
                // No other process appends under this name. An earlier copy of the append may have been stored.
                Err(AppendError::Fenced) => {
                    doubtful = true;
                    sleep(REFUSED_PAUSE).await;
                }
            }
            refuse_late(&queue, turn, &events).await;
        };
        for token in tokens {
            let took = Some(started.elapsed());
            let event = Event::Accepted {
                token,
                stored,
                took,
            };
            events.send(event).await;
        }
    }
}

/// Waits for the result of an append. Meanwhile reports failure for records that have waited behind it for longer than
/// `turn`.
async fn refuse_meanwhile<T>(
    append: impl Future<Output = T>,
    queue: &Queue<Accept>,
    turn: Duration,
    events: &EventSender,
) -> T {
    let mut append = pin!(append);
    loop {
        tokio::select! {
            biased;
            result = append.as_mut() => return result,
            () = sleep(TURN_CHECK_INTERVAL) => refuse_late(queue, turn, events).await,
        }
    }
}

/// Reports failure for records that have waited for longer than `turn` behind an append without an answer. They were not
/// sent, so the callers can try another entry.
async fn refuse_late(queue: &Queue<Accept>, turn: Duration, events: &EventSender) {
    let late: Vec<u64> = {
        let mut items = queue.items.borrow_mut();
        let late = items.iter().filter(|item| item.since.elapsed() > turn);
        let tokens: Vec<u64> = late.map(|item| item.token).collect();
        items.retain(|item| item.since.elapsed() <= turn);
        tokens
    };
    for token in late {
        let event = Event::Accepted {
            token,
            stored: false,
            took: None,
        };
        events.send(event).await;
    }
}

/// Records of the leader that wait to be appended.
pub(super) struct Write {
    pub(super) epoch: u64,
    pub(super) records: Vec<Record>,
}

/// Appends the leader's records, up to `limit` bytes at once, until the thread ends. `epoch` is the epoch in which this
/// entry leads, 0 if it does not.
pub(super) async fn write<L: Log>(
    mut appender: Appender<L>,
    limit: usize,
    queue: Rc<Queue<Write>>,
    epoch: Rc<Cell<u64>>,
    clock: Clock,
    events: EventSender,
) {
    let mut producer = Producer {
        name: Arc::from(LEADER_NAME),
        epoch: 0,
        sequence: 0,
    };
    loop {
        queue.wait().await;
        while let Some(next) = queue.take() {
            if next.epoch != epoch.get() {
                continue;
            }
            if producer.epoch != next.epoch {
                producer.epoch = next.epoch;
                producer.sequence = 0;
            }
            let started = clock.now();
            let leader = LeaderEpoch(&epoch);
            let result = leader
                .write(&mut appender, &mut producer, chunks(&next.records, limit))
                .await;
            if let Some(result) = result {
                let epoch = next.epoch;
                events
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

/// The epoch in which this entry leads, 0 if it does not. Appends stop as soon as it changes.
struct LeaderEpoch<'a>(&'a Cell<u64>);

impl LeaderEpoch<'_> {
    /// Appends records in chunks. Returns `None` if the entry gave up the lead meanwhile.
    async fn write<L: Log>(
        &self,
        appender: &mut Appender<L>,
        producer: &mut Producer,
        chunks: Vec<Chunk>,
    ) -> Option<Written> {
        for chunk in chunks {
            let result = self.append(appender, producer, &chunk).await?;
            if result == Written::Fenced {
                return Some(result);
            }
        }
        Some(Written::Stored)
    }

    async fn append<L: Log>(
        &self,
        appender: &mut Appender<L>,
        producer: &mut Producer,
        chunk: &[(String, Vec<u8>)],
    ) -> Option<Written> {
        loop {
            match appender.append(producer, chunk).await {
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

/// Encoded records of one append.
type Chunk = Vec<(String, Vec<u8>)>;

/// Encodes records, and divides them into chunks of at most `limit` bytes unless one record is larger.
fn chunks(records: &[Record], limit: usize) -> Vec<Chunk> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut size = 0;
    for encoded in records.iter().flat_map(encode) {
        let length = encoded.0.len() + encoded.1.len();
        if size + length > limit && !chunk.is_empty() {
            chunks.push(core::mem::take(&mut chunk));
            size = 0;
        }
        size += length;
        chunk.push(encoded);
    }
    chunks.push(chunk);
    chunks
}

/// Encodes a record. For a job that is removed, returns one removal for each of its keys.
fn encode(record: &Record) -> Vec<(String, Vec<u8>)> {
    match record {
        Record::Forget(id) => {
            let keys = record::keys(*id).into_iter();
            keys.map(|key| (key, Vec::new())).collect()
        }
        other => vec![record::encode(other)],
    }
}
