//! Messages between the store thread and the control thread.

use crate::port::{
    OperatorRecord,
    Topic, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Record;
use sassafrascrank_roster::{
    Candidate,
    seat, //
};
use sassafrascrank_schedule::runner;

/// Request to the store thread.
#[derive(Debug)]
pub enum Request {
    /// Appends a caller's record. Every entry may do so, also if it does not lead.
    Accept {
        /// Identifies the request in the answer.
        token: u64,
        /// The record.
        record: Record,
    },
    /// Appends a claim, and all later [`Write`](Self::Write)s with the epoch of the claim.
    Lead {
        /// Epoch of the claim.
        epoch: u64,
        /// The claim.
        record: Record,
    },
    /// Appends records of the leader.
    Write(Vec<Record>),
    /// Stops appending as the leader, and drops records that are not sent yet.
    Abandon,
    /// Sets how the topics are read.
    SetReads {
        /// Generation of the reads of the jobs; `None` if they are not read. Reads of another generation begin with all
        /// jobs.
        jobs: Option<u64>,
        /// Shortest time between two reads of the jobs.
        jobs_interval: Duration,
        /// Number of the claim for which the service list is read; `None` if it is not read. Reads for another number
        /// begin with the whole list.
        runners: Option<u64>,
    },
    /// Reads the jobs now.
    Refresh,
    /// Writes the record of a seat.
    WriteSeat {
        /// The seat.
        key: seat::Key,
        /// Its holder; `None` if this entry gives it up.
        candidate: Option<Candidate>,
    },
    /// Publishes the state of a wave for operators.
    Announce {
        /// Number of the wave.
        wave: u64,
        /// Whether all its hosts have begun their maintenance.
        done: bool,
    },
}

/// Result of an append of the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// The log holds the records.
    Stored,
    /// The log refused the records, since another leader has appended with a higher epoch.
    Fenced,
}

/// Event that the store thread reports.
#[derive(Debug)]
pub enum Event {
    /// Records of [`Topic::Jobs`] were read.
    Jobs {
        /// The records with their offsets.
        records: Vec<(u64, Record)>,
        /// When the read began.
        started: Time,
        /// The read returned the latest record of each key, not only new records.
        complete: bool,
        /// The read reached the end of the topic.
        last: bool,
    },
    /// Records of operators were read.
    Operator {
        /// The records.
        records: Vec<OperatorRecord>,
        /// When the read began.
        started: Time,
        /// The read reached the end of the topic.
        last: bool,
    },
    /// Records of the service list were read.
    Runners {
        /// Number of the claim for which the list was read.
        claim: u64,
        /// Changes to the service list.
        changes: Vec<runner::Change>,
        /// The whole list was read: runners without a change are no longer listed.
        complete: bool,
    },
    /// Records of seats were read.
    Seats {
        /// The seats with their holders.
        records: Vec<(seat::Key, Option<Candidate>)>,
        /// When the read began.
        started: Time,
        /// The read reached the end of the topic.
        last: bool,
    },
    /// Result of the write of a seat's record.
    SeatWritten {
        /// Whether the log holds the record, as far as is known.
        stored: bool,
    },
    /// A read of a topic failed. It is repeated.
    ReadFailed {
        /// The topic.
        topic: Topic,
        /// Number of reads of the topic that have failed in a row.
        failures: u32,
        /// Time that the read took.
        took: Duration,
        /// Why it failed.
        reason: String,
    },
    /// Result of the append of a caller's record.
    Accepted {
        /// Identifies the request.
        token: u64,
        /// Whether the log holds the record. If not, it will not be appended later either.
        stored: bool,
    },
    /// Result of an append of the leader.
    Written {
        /// Epoch of the leader.
        epoch: u64,
        /// When the first attempt to append began.
        started: Time,
        /// The result.
        result: Written,
    },
    /// A record was skipped because it could not be decoded.
    Skipped {
        /// Topic of the record.
        topic: Topic,
        /// What is wrong with the record.
        reason: String,
    },
}
