//! The bounded time line of one process.

use super::{
    Filter,
    LIMIT_MAX,
    Process,
    Record, //
};
use crate::{
    event::{
        Event,
        Kind, //
    },
    names::Names, //
};
use std::{
    collections::VecDeque,
    sync::Arc, //
};

/// Default capacity of a time line in records: 8 MiB at `RECORD_BYTES_MAX`.
pub const CAPACITY_DEFAULT: usize = 65_536;
/// Largest size of a record in bytes; its names are shared with the table of names.
pub const RECORD_BYTES_MAX: usize = 128;

const _: () = assert!(size_of::<Record>() <= RECORD_BYTES_MAX);

/// The newest records of one process; a new record overwrites the oldest one.
#[derive(Debug)]
pub struct Timeline {
    process: Arc<Process>,
    records: VecDeque<Record>,
    capacity: usize,
    /// Sequence of the newest record; 0 before the first.
    sequence: u64,
    /// Offset of the configuration in force; 0 before the first.
    configuration: u64,
    overwritten: u64,
}

impl Timeline {
    /// Creates an empty time line with room for `capacity` records, at least one.
    pub fn new(process: Process, capacity: usize) -> Self {
        Self {
            process: Arc::new(process),
            records: VecDeque::new(),
            capacity: capacity.max(1),
            sequence: 0,
            configuration: 0,
            overwritten: 0,
        }
    }

    /// Appends an event and returns its record.
    pub fn append(&mut self, event: &Event, names: &Names) -> Record {
        if event.kind == Kind::ConfigurationInForce {
            self.configuration = self.configuration.max(event.detail);
        }
        let configuration = match event.kind {
            kind if kind.concerns_configuration() => event.detail,
            _ => self.configuration,
        };
        self.sequence += 1;
        let process = Arc::clone(&self.process);
        let record = Record::new(process, self.sequence, configuration, event, names);
        if self.records.len() == self.capacity {
            self.records.pop_front();
            self.overwritten += 1;
        }
        self.records.push_back(record.clone());
        record
    }

    /// Returns the matching records, sorted by sequence.
    pub fn query(&self, filter: &Filter) -> Vec<Record> {
        let limit = filter.limit.min(LIMIT_MAX);
        let matching = |record: &&Record| filter.matches(record);
        if filter.since.is_some() {
            return self
                .records
                .iter()
                .filter(matching)
                .take(limit)
                .cloned()
                .collect();
        }
        let newest = self.records.iter().rev().filter(matching).take(limit);
        let mut records: Vec<_> = newest.cloned().collect();
        records.reverse();
        records
    }

    /// Returns the process that the time line belongs to.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Returns the number of records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of records overwritten by newer ones.
    pub const fn overwritten(&self) -> u64 {
        self.overwritten
    }
}
