//! Messages between the thread and the one that decides.

use crate::port::{
    OperatorRecord,
    Topic, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Record;
use sassafrascrank_schedule::runner;

/// What the thread is asked to do.
#[derive(Debug)]
pub enum Request {
    /// Appends a caller's record; any entry may.
    Accept {
        /// Names the request in the answer.
        token: u64,
        /// The record.
        record: Record,
    },
    /// Begins appending as the leader of an epoch.
    Lead {
        /// The epoch.
        epoch: u64,
        /// The claim.
        record: Record,
    },
    /// Appends records of the leader.
    Write(Vec<Record>),
    /// Stops appending as the leader.
    Abandon,
    /// Sets the shortest time between two reads of the jobs, and whether the service list is read.
    Pace {
        /// Shortest time between two reads of the jobs.
        jobs: Duration,
        /// The service list is read.
        runners: bool,
    },
    /// Reads the jobs now.
    Refresh,
    /// Publishes the state of a wave.
    Announce {
        /// Number of the wave.
        wave: u64,
        /// All its hosts have begun their maintenance.
        done: bool,
    },
}

/// What came of an append of the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// The log holds the records.
    Stored,
    /// Another leader has a higher epoch.
    Fenced,
}

/// What the thread reports.
#[derive(Debug)]
pub enum Event {
    /// Records of jobs.
    Jobs {
        /// The records with their offsets.
        records: Vec<(u64, Record)>,
        /// When the read began.
        started: Time,
        /// All jobs were read, not only new records.
        complete: bool,
        /// No later record was there when they were read.
        last: bool,
    },
    /// Records of operators.
    Operator(Vec<OperatorRecord>),
    /// Records of the service list.
    Runners {
        /// The changes.
        changes: Vec<runner::Change>,
        /// All runners were read; those that are not named are not listed.
        complete: bool,
    },
    /// A topic can't be read.
    ReadFailed {
        /// The topic.
        topic: Topic,
    },
    /// What came of a caller's record.
    Accepted {
        /// Names the request.
        token: u64,
        /// The log holds the record; otherwise it never will.
        stored: bool,
    },
    /// What came of an append of the leader.
    Written {
        /// Epoch of the leader.
        epoch: u64,
        /// When its first try began.
        started: Time,
        /// What came of it.
        result: Written,
    },
    /// A record was skipped.
    Skipped {
        /// Its topic.
        topic: Topic,
        /// What is wrong with it.
        reason: String,
    },
}
