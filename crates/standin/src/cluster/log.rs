//! The platform's log: topics with producers, conditions, keys and retention.

use std::collections::{
    BTreeMap,
    HashMap,
    VecDeque, //
};

/// Appends of a producer whose answers are kept for repeats.
const KEPT: usize = 5;

/// Who appends.
#[derive(Clone, Debug)]
pub struct Producer {
    /// Name.
    pub name: String,
    /// Epoch; lower ones are rejected.
    pub epoch: u64,
    /// Sequence of the append within the epoch.
    pub sequence: u64,
}

/// Keys and values, an empty value drops the key.
pub type Records = Vec<(String, Vec<u8>)>;

/// Where the records of an append lie.
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
    /// Another sequence has to come next.
    Sequence(u64),
    /// The topic does not end where the append expects it.
    End(u64),
}

#[derive(Clone, Debug, Default)]
struct State {
    epoch: u64,
    next: u64,
    kept: VecDeque<(u64, Appended)>,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    first: u64,
    records: VecDeque<(String, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, State>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// The log. All topics have one partition and keyed records.
#[derive(Clone, Debug, Default)]
pub struct Log {
    topics: HashMap<String, Topic>,
}

impl Log {
    /// Appends records, all or none.
    ///
    /// # Errors
    ///
    /// Rejects an append whose producer or condition does not fit.
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
                *state = State {
                    epoch: producer.epoch,
                    next: producer.sequence,
                    kept: VecDeque::new(),
                };
            }
            if let Some((_, answer)) = state
                .kept
                .iter()
                .find(|(kept, _)| *kept == producer.sequence)
            {
                return Ok(*answer);
            }
            if producer.sequence != state.next {
                return Err(Rejected::Sequence(state.next));
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
        let answer = Appended {
            offset: end,
            end: topic.end(),
        };
        if let Some(producer) = producer
            && let Some(state) = topic.producers.get_mut(&producer.name)
        {
            state.next += 1;
            state.kept.push_back((producer.sequence, answer));
            if state.kept.len() > KEPT {
                state.kept.pop_front();
            }
        }
        Ok(answer)
    }

    /// Returns the records from `from` on with the end, or the first retained offset if they have expired.
    ///
    /// # Errors
    ///
    /// Fails if the record at `from` is no longer retained.
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

    /// Returns the newest record of each key with its offset, and the end.
    pub fn newest(&self, topic: &str) -> (u64, Vec<(u64, String, Vec<u8>)>) {
        let Some(topic) = self.topics.get(topic) else {
            return (0, Vec::new());
        };
        let rows = topic.newest.iter();
        let rows = rows.map(|(key, (offset, value))| (*offset, key.clone(), value.clone()));
        (topic.end(), rows.collect())
    }

    /// Drops all records of a topic but the newest of each key, as the end of the retention does.
    pub fn expire(&mut self, topic: &str) {
        if let Some(topic) = self.topics.get_mut(topic) {
            topic.first = topic.end();
            topic.records.clear();
        }
    }
}
