//! Merge of the time streams of several processes into one causally consistent order.

use super::{
    Process,
    Record, //
};
use crate::event::{
    Kind,
    request, //
};
use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    sync::Arc,
    vec, //
};

/// Merges records of several processes, which may come in any order and repeatedly, into one order in which
///
/// - the records of a process keep their sequence;
/// - the n-th arrival of a request at a process comes after the n-th record that forwards it there;
/// - the answer of a process that forwarded a request comes after all answers of the processes that it forwarded it to;
/// - a record under configuration N comes after the record of another process that published N.
///
/// Clocks, which may be skewed, decide only between records that none of these rules order. A cause that is not among
/// the records has no influence. The result contains every record once: where the last two rules contradict the first
/// two, as when a writer learns late that its append took effect, the last two are ignored.
pub fn merge(records: impl IntoIterator<Item = Record>) -> Vec<Record> {
    let mut merge = Merge::new(records);
    let mut merged = Vec::new();
    while let Some(at) = merge.next_stream() {
        merged.extend(merge.take(at));
    }
    merged
}

/// Records of one process, in sequence, that are not merged yet.
struct Stream {
    process: Arc<Process>,
    rest: vec::IntoIter<Record>,
    /// Number of merged arrivals of each request at this process.
    arrivals: HashMap<request::Id, usize>,
}

/// A request at the process of one stream.
#[derive(Eq, Hash, PartialEq)]
struct Hop {
    request: request::Id,
    /// Index of the stream.
    at: usize,
}

/// Total number of records of some sort, and the number of those merged so far.
#[derive(Default)]
struct Count {
    total: usize,
    merged: usize,
}

/// State of a merge.
struct Merge {
    streams: Vec<Stream>,
    /// Records that forward a request, by the hop that they lead to.
    forwards: HashMap<Hop, Count>,
    /// Hops at which a request was forwarded.
    forwarders: HashSet<Hop>,
    /// Answers to a request by the processes that it was forwarded to.
    answers: HashMap<request::Id, Count>,
    /// Index of the stream that holds the publication of each configuration, until that record is merged.
    unpublished: HashMap<u64, usize>,
}

/// Ordering rules that a record has to meet to be merged next.
#[derive(Clone, Copy)]
enum Rules {
    /// All rules of [`merge`].
    All,
    /// Only the order within a process and that of forwards and arrivals.
    ForwardsOnly,
    /// Only the order within a process.
    None,
}

impl Merge {
    fn new(records: impl IntoIterator<Item = Record>) -> Self {
        let mut processes: BTreeMap<Arc<Process>, BTreeMap<u64, Record>> = BTreeMap::new();
        for record in records {
            let by_sequence = processes.entry(Arc::clone(&record.process)).or_default();
            by_sequence.insert(record.sequence, record);
        }
        let stream = |(process, records): (_, BTreeMap<u64, Record>)| Stream {
            process,
            rest: records.into_values().collect::<Vec<_>>().into_iter(),
            arrivals: HashMap::new(),
        };
        let mut merge = Self {
            streams: processes.into_iter().map(stream).collect(),
            forwards: HashMap::new(),
            forwarders: HashSet::new(),
            answers: HashMap::new(),
            unpublished: HashMap::new(),
        };
        merge.index();
        merge
    }

    /// Counts the records that are causes of others.
    fn index(&mut self) {
        for (from, stream) in self.streams.iter().enumerate() {
            for record in stream.rest.as_slice() {
                if record.kind == Kind::ConfigurationPublished {
                    self.unpublished.entry(record.configuration).or_insert(from);
                }
                for hop in self.destinations(from, record) {
                    let Hop { request, .. } = hop;
                    self.forwarders.insert(Hop { request, at: from });
                    self.forwards.entry(hop).or_default().total += 1;
                }
            }
        }
        for (at, stream) in self.streams.iter().enumerate() {
            for record in stream.rest.as_slice() {
                if let Some(request) = self.remote_answer(at, record) {
                    self.answers.entry(request).or_default().total += 1;
                }
            }
        }
    }

    /// Returns the hops that a record may forward its request to: one for each incarnation of the named host, or for
    /// every other process if the name is unknown.
    fn destinations(&self, from: usize, record: &Record) -> Vec<Hop> {
        let Some(request) = record.request.filter(|_| record.kind == Kind::Forwarded) else {
            return Vec::new();
        };
        let addressed = |process: &Process| {
            record
                .member
                .as_ref()
                .is_none_or(|host| process.host == *host)
        };
        let others = self
            .streams
            .iter()
            .enumerate()
            .filter(|(at, _)| *at != from);
        others
            .filter(|(_, stream)| addressed(&stream.process))
            .map(|(at, _)| Hop { request, at })
            .collect()
    }

    /// Returns the id of the request if the record is an answer of a process that the request was forwarded to.
    fn remote_answer(&self, at: usize, record: &Record) -> Option<request::Id> {
        let request = record.request.filter(|_| record.kind == Kind::Answered)?;
        let hop = Hop { request, at };
        self.forwards.contains_key(&hop).then_some(request)
    }

    /// Returns the index of the stream whose first record comes next in the merged order. Applies fewer rules if all of
    /// them together allow no record.
    fn next_stream(&self) -> Option<usize> {
        [Rules::All, Rules::ForwardsOnly, Rules::None]
            .into_iter()
            .find_map(|rules| self.earliest(rules))
    }

    /// Returns the index of the stream with the earliest first record among those that the rules allow.
    fn earliest(&self, rules: Rules) -> Option<usize> {
        let heads = self.streams.iter().enumerate();
        heads
            .filter_map(|(at, stream)| Some((at, stream.rest.as_slice().first()?)))
            .filter(|(at, record)| self.allows(rules, *at, record))
            .min_by_key(|(at, record)| (record.time, *at))
            .map(|(at, _)| at)
    }

    /// Tells whether the rules allow the record to be merged next.
    fn allows(&self, rules: Rules, at: usize, record: &Record) -> bool {
        match rules {
            Rules::All => {
                self.forwarding_merged(at, record)
                    && self.answers_merged(at, record)
                    && self.publication_merged(at, record)
            }
            Rules::ForwardsOnly => self.forwarding_merged(at, record),
            Rules::None => true,
        }
    }

    /// Tells whether the record that forwarded the request here is merged.
    fn forwarding_merged(&self, at: usize, record: &Record) -> bool {
        let Some(request) = record.request else {
            return true;
        };
        let Some(forwards) = self.forwards.get(&Hop { request, at }) else {
            return true;
        };
        let arrivals = self.streams[at]
            .arrivals
            .get(&request)
            .copied()
            .unwrap_or(0);
        let arrivals = arrivals + usize::from(record.kind == Kind::Arrived);
        forwards.merged >= arrivals.max(1).min(forwards.total)
    }

    /// Tells whether all answers that this answer may pass on are merged. If an answer was lost and the request was
    /// repeated, only the last answer can have been passed on.
    fn answers_merged(&self, at: usize, record: &Record) -> bool {
        let Some(request) = record.request.filter(|_| record.kind == Kind::Answered) else {
            return true;
        };
        if !self.forwarders.contains(&Hop { request, at }) {
            return true;
        }
        self.answers
            .get(&request)
            .is_none_or(|answers| answers.merged == answers.total)
    }

    /// Tells whether the publication of the record's configuration is merged, or belongs to the same stream.
    fn publication_merged(&self, at: usize, record: &Record) -> bool {
        let publisher = self.unpublished.get(&record.configuration);
        publisher.is_none_or(|publisher| *publisher == at)
    }

    /// Takes the first record of a stream and updates the counts.
    fn take(&mut self, at: usize) -> Option<Record> {
        let record = self.streams[at].rest.next()?;
        if let Some(request) = record.request.filter(|_| record.kind == Kind::Arrived) {
            *self.streams[at].arrivals.entry(request).or_default() += 1;
        }
        for hop in self.destinations(at, &record) {
            self.forwards.entry(hop).or_default().merged += 1;
        }
        if let Some(request) = self.remote_answer(at, &record) {
            self.answers.entry(request).or_default().merged += 1;
        }
        if record.kind == Kind::ConfigurationPublished {
            self.unpublished.remove(&record.configuration);
        }
        Some(record)
    }
}
