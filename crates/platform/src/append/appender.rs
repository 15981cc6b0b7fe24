//! State machine of a writer's appends to one stream.

use crate::api::Error;
use sassafrascrank_base::{
    hash::mix,
    prelude::*, //
};
use sassafrascrank_ledger::Origin;
use std::collections::VecDeque;

/// Most records that wait to be appended or seen. One entry process appends a few a minute at most.
pub const QUEUE_LIMIT: usize = 64;
/// Mean wait before the first retry.
const BACKOFF_START: Duration = Duration::from_millis(100);
/// Longest wait before a retry, half of the time in which a change must be in force everywhere.
const BACKOFF_LIMIT: Duration = Duration::from_secs(4);

/// Step of the state of SplitMix64.
const RANDOM_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// The queue is full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("{QUEUE_LIMIT} records wait to be appended: try again when the log is available")]
pub struct Full;

/// What became of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The log answered with its offset.
    Appended {
        /// Sequence of the record.
        sequence: u64,
        /// Its offset.
        offset: u64,
    },
    /// It was read back.
    ReadBack {
        /// Sequence of the record.
        sequence: u64,
        /// Its first offset.
        offset: u64,
    },
    /// The log refuses it for good.
    Rejected {
        /// Sequence of the record.
        sequence: u64,
        /// Why.
        error: Error,
    },
}

struct Pending {
    sequence: u64,
    body: String,
    offset: Option<u64>,
}

/// Appends records of one writer to one stream, one at a time and in the order of their sequences.
///
/// A record is repeated with the same origin until the log answers or the record is read back; readers ignore
/// all but its first copy. The next record waits until then, because readers take a lower sequence after a higher
/// one for a repeat.
pub struct Appender {
    writer: Name,
    incarnation: u64,
    sequence: u64,
    queue: VecDeque<Pending>,
    in_flight: Option<u64>,
    retry_at: Time,
    failures: u32,
    random: u64,
    retries: u64,
}

impl Appender {
    /// Makes an appender; `seed` varies the waits between processes.
    pub fn new(writer: Name, incarnation: u64, seed: u64) -> Self {
        Self {
            writer,
            incarnation,
            sequence: 0,
            queue: VecDeque::new(),
            in_flight: None,
            retry_at: Time::MIN,
            failures: 0,
            random: seed,
            retries: 0,
        }
    }

    /// Queues the record that `encode` makes of its origin, and returns its sequence.
    ///
    /// # Errors
    ///
    /// Fails without calling `encode` if the queue is full.
    pub fn push(&mut self, encode: impl FnOnce(Origin) -> String) -> Result<u64, Full> {
        if self.queue.len() >= QUEUE_LIMIT {
            return Err(Full);
        }
        self.sequence += 1;
        let origin = Origin {
            writer: self.writer.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
        };
        self.queue.push_back(Pending {
            sequence: self.sequence,
            body: encode(origin),
            offset: None,
        });
        Ok(self.sequence)
    }

    /// Returns the record to append now; its result must be given to [`complete`](Self::complete).
    pub fn poll(&mut self, now: Time) -> Option<&str> {
        if self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        let next = self.queue.iter().find(|pending| pending.offset.is_none())?;
        self.in_flight = Some(next.sequence);
        Some(&next.body)
    }

    /// Returns when [`poll`](Self::poll) has something to append, or `None` if that depends on an event.
    pub fn wake_at(&self) -> Option<Time> {
        let waits = self.queue.iter().any(|pending| pending.offset.is_none());
        (waits && self.in_flight.is_none()).then_some(self.retry_at)
    }

    /// Takes the result of the append that [`poll`](Self::poll) began.
    pub fn complete(&mut self, now: Time, result: Result<u64, Error>) -> Option<Event> {
        let sequence = self.in_flight.take()?;
        // The record may have been read back before its answer came.
        let position = self.queue.iter().position(|it| it.sequence == sequence);
        match result {
            Ok(offset) => {
                self.failures = 0;
                self.retry_at = Time::MIN;
                self.queue.get_mut(position?)?.offset = Some(offset);
                Some(Event::Appended { sequence, offset })
            }
            Err(error @ Error::Malformed { .. }) => {
                self.queue.remove(position?)?;
                Some(Event::Rejected { sequence, error })
            }
            Err(_) => {
                self.retries += 1;
                self.retry_at = now + self.backoff();
                None
            }
        }
    }

    /// Takes note of a record that was read, and reports the first copy of each own one.
    pub fn observe(&mut self, origin: &Origin, offset: u64) -> Option<Event> {
        if origin.writer != self.writer || origin.incarnation != self.incarnation {
            return None;
        }
        let sequence = origin.sequence;
        let position = self.queue.iter().position(|it| it.sequence == sequence)?;
        self.queue.drain(..=position);
        self.failures = 0;
        self.retry_at = Time::MIN;
        Some(Event::ReadBack { sequence, offset })
    }

    /// Drops appended records up to `through`, which the reader passed without seeing them.
    pub fn discard_through(&mut self, through: u64) {
        let passed = |pending: &Pending| pending.offset.is_some_and(|offset| offset <= through);
        self.queue.retain(|pending| !passed(pending));
    }

    /// Returns the number of records that wait to be appended or seen.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no record waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns how often an append was repeated.
    pub fn retries(&self) -> u64 {
        self.retries
    }

    /// Returns a random time between half of the exponential wait and the whole of it.
    fn backoff(&mut self) -> Duration {
        let doublings = self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let wait = (BACKOFF_START * (1 << doublings)).min(BACKOFF_LIMIT);
        let half = u64::try_from(wait.as_micros() / 2).unwrap_or(u64::MAX);
        wait / 2 + Duration::from_micros(self.draw() % half.max(1))
    }

    /// Draws the next number of SplitMix64.
    fn draw(&mut self) -> u64 {
        let drawn = mix(self.random);
        self.random = self.random.wrapping_add(RANDOM_INCREMENT);
        drawn
    }
}
