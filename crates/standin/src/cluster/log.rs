//! State of the platform's log: topics with idempotent producers, conditional appends, keys and retention.

use std::collections::{
    BTreeMap,
    HashMap,
    VecDeque, //
};

/// Number of appends of a producer whose results are kept, so that a repeated append gets the same result.
const KEPT_RESULTS: usize = 5;

/// Who appends.
#[derive(Clone, Debug)]
pub struct Producer {
    /// Name of the producer.
    pub name: String,
    /// Epoch; the log rejects lower ones than the highest that it has seen.
    pub epoch: u64,
    /// Sequence number of the append within the epoch.
    pub sequence: u64,
}

/// Keys and values; an empty value deletes the key.
pub type Records = Vec<(String, Vec<u8>)>;

/// Offsets of the records of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Appended {
    /// Offset of the first record.
    pub offset: u64,
    /// Offset after the last record.
    pub end: u64,
}

/// Why nothing was appended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejected {
    /// The producer's epoch is too low.
    Fenced,
    /// The log expects this sequence number next.
    Sequence(u64),
    /// The topic ends at this offset and not where the append expects.
    End(u64),
}

#[derive(Clone, Debug, Default)]
struct ProducerState {
    epoch: u64,
    next_sequence: u64,
    results: VecDeque<(u64, Appended)>,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    first: u64,
    records: VecDeque<(String, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, ProducerState>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// The log. Each topic has one partition and keyed records.
#[derive(Clone, Debug, Default)]
pub struct Log {
    topics: HashMap<String, Topic>,
}

impl Log {
    /// Appends records, all or none.
    ///
    /// # Errors
    ///
    /// Rejects an append with a lower epoch, an unexpected sequence number, or an unexpected end of the topic in `at`.
    pub fn append(
        &mut self,
        topic: &str,
        producer: Option<&Producer>,
        at: Option<u64>,
        records: Records,
    ) -> Result<Appended, Rejected> {
        let topic = self.topics.entry(topic.to_owned()).or_default();
        if let Some(producer) = producer {
            let state = topic.producers.entry(producer.name.clone()).or_default();
            if producer.epoch < state.epoch {
                return Err(Rejected::Fenced);
            }
            if producer.epoch > state.epoch {
                *state = ProducerState {
                    epoch: producer.epoch,
                    next_sequence: producer.sequence,
                    results: VecDeque::new(),
                };
            }
            if let Some((_, result)) = state
                .results
                .iter()
                .find(|(sequence, _)| *sequence == producer.sequence)
            {
                return Ok(*result);
            }
            if producer.sequence != state.next_sequence {
                return Err(Rejected::Sequence(state.next_sequence));
            }
        }
        let end = topic.end();
        if at.is_some_and(|at| at != end) {
            return Err(Rejected::End(end));
        }
        for (offset, (key, value)) in (end..).zip(&records) {
            match value.is_empty() {
                true => topic.newest.remove(key),
                false => topic.newest.insert(key.clone(), (offset, value.clone())),
            };
        }
        topic.records.extend(records);
        let result = Appended {
            offset: end,
            end: topic.end(),
        };
        if let Some(producer) = producer
            && let Some(state) = topic.producers.get_mut(&producer.name)
        {
            state.next_sequence += 1;
            state.results.push_back((producer.sequence, result));
            if state.results.len() > KEPT_RESULTS {
                state.results.pop_front();
            }
        }
        Ok(result)
    }

    /// Returns the end offset of a topic and its records from `from` on.
    ///
    /// # Errors
    ///
    /// Returns the first retained offset if the record at `from` is no longer retained.
    pub fn read(&self, topic: &str, from: u64) -> Result<(u64, Records), u64> {
        let Some(topic) = self.topics.get(topic) else {
            return Ok((0, Vec::new()));
        };
        let Some(skip) = from.checked_sub(topic.first) else {
            return Err(topic.first);
        };
        let records = topic.records.iter().skip(skip as usize).cloned().collect();
        Ok((topic.end(), records))
    }

    /// Returns the end offset of a topic, and the newest record of each key with its offset.
    pub fn newest(&self, topic: &str) -> (u64, Vec<(u64, String, Vec<u8>)>) {
        let Some(topic) = self.topics.get(topic) else {
            return (0, Vec::new());
        };
        let rows = topic.newest.iter();
        let rows = rows.map(|(key, (offset, value))| (*offset, key.clone(), value.clone()));
        (topic.end(), rows.collect())
    }

    /// Expires all records of a topic; only the newest record of each key stays readable, through
    /// [`newest`](Self::newest).
    pub fn expire(&mut self, topic: &str) {
        if let Some(topic) = self.topics.get_mut(topic) {
            topic.first = topic.end();
            topic.records.clear();
        }
    }
}
