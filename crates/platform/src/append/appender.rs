//! State machine that appends the records of one writer to one stream.

use crate::api::Error;
use sassafrascrank_base::{
    hash::mix,
    prelude::*, //
};
use sassafrascrank_ledger::Origin;
use std::collections::VecDeque;

/// Largest number of records in the queue. An entry process appends at most a few records a minute.
pub const QUEUE_LIMIT: usize = 64;
/// Upper bound of the random delay before the first retry; it doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the delay before any retry. It is half of the time within which a change must be in force everywhere.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Increment of the state of the SplitMix64 generator.
const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// The queue of records is full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("{QUEUE_LIMIT} records wait to be appended: try again when the log is available")]
pub struct Full;

/// Progress of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The log has stored it.
    Appended {
        /// Sequence of the record.
        sequence: u64,
        /// Offset of the record.
        offset: u64,
    },
    /// The reader found it in the log.
    ReadBack {
        /// Sequence of the record.
        sequence: u64,
        /// Offset of its first copy.
        offset: u64,
    },
    /// The log rejects it, and a retry would not help.
    Rejected {
        /// Sequence of the record.
        sequence: u64,
        /// Reason for the rejection.
        error: Error,
    },
}

struct Pending {
    sequence: u64,
    body: String,
    offset: Option<u64>,
}

/// Appends the records of one writer to one stream, one at a time and in the order of their sequence numbers.
///
/// A record is appended again with the same origin until the log responds or the record is read back. Readers ignore
/// all copies but the first. The next record waits until then, because readers ignore a lower sequence number after a
/// higher one as a repeat.
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
    /// Creates an appender. Processes with different values of `seed` retry after different delays.
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

    /// Queues the record that `encode` returns for its origin, and returns its sequence number.
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

    /// Returns the record to append now, if any. The caller must pass the result to [`complete`](Self::complete).
    pub fn poll(&mut self, now: Time) -> Option<&str> {
        if self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        let next = self.queue.iter().find(|pending| pending.offset.is_none())?;
        self.in_flight = Some(next.sequence);
        Some(&next.body)
    }

    /// Returns the time from which [`poll`](Self::poll) returns a record, or `None` if that depends on another call.
    pub fn wake_at(&self) -> Option<Time> {
        let waits = self.queue.iter().any(|pending| pending.offset.is_none());
        (waits && self.in_flight.is_none()).then_some(self.retry_at)
    }

    /// Handles the result of the append that [`poll`](Self::poll) started.
    pub fn complete(&mut self, now: Time, result: Result<u64, Error>) -> Option<Event> {
        let sequence = self.in_flight.take()?;
        // The record may have been read back before the response arrived.
        let position = self
            .queue
            .iter()
            .position(|pending| pending.sequence == sequence);
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

    /// Handles a record that was read, and reports the first copy of each record of this appender.
    pub fn observe(&mut self, origin: &Origin, offset: u64) -> Option<Event> {
        if origin.writer != self.writer || origin.incarnation != self.incarnation {
            return None;
        }
        let sequence = origin.sequence;
        let position = self
            .queue
            .iter()
            .position(|pending| pending.sequence == sequence)?;
        self.queue.drain(..=position);
        self.failures = 0;
        self.retry_at = Time::MIN;
        Some(Event::ReadBack { sequence, offset })
    }

    /// Drops appended records up to the offset `through`, which the reader has passed without reading them, for example
    /// because they had expired.
    pub fn discard_through(&mut self, through: u64) {
        let passed = |pending: &Pending| pending.offset.is_some_and(|offset| offset <= through);
        self.queue.retain(|pending| !passed(pending));
    }

    /// Returns the number of records that wait to be appended or read back.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the number of failed appends that lead to a retry.
    pub fn retries(&self) -> u64 {
        self.retries
    }

    /// Returns a random delay between half of the exponential backoff and the whole of it.
    fn backoff(&mut self) -> Duration {
        let doublings = self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let wait = (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
        let half = u64::try_from(wait.as_micros() / 2).unwrap_or(u64::MAX);
        wait / 2 + Duration::from_micros(self.next_random() % half.max(1))
    }

    /// Returns the next number of the SplitMix64 generator.
    fn next_random(&mut self) -> u64 {
        let number = mix(self.random);
        self.random = self.random.wrapping_add(SPLITMIX64_INCREMENT);
        number
    }
}
