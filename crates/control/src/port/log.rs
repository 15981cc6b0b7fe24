//! The platform's log, which keeps records by topic and key.

use core::future::Future;
use sassafrascrank_base::prelude::*;
use sassafrascrank_schedule::{
    config::Config,
    runner, //
};
use std::sync::Arc;

/// Topic of the log.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// Jobs, their progress, and the leader.
    Jobs,
    /// Configuration and maintenance waves, written by operators.
    Operator,
    /// The service list, in which runners announce themselves.
    Runners,
    /// Seats of the candidates among the entries.
    Seats,
}

impl Topic {
    /// Returns the name that log lines use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Jobs => "jobs",
            Self::Operator => "operator",
            Self::Runners => "runners",
            Self::Seats => "seats",
        }
    }
}

/// A record with a key. A record with an empty value removes the key.
#[derive(Clone, Debug)]
pub struct Item {
    /// Offset in the topic.
    pub offset: u64,
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: Vec<u8>,
}

/// Result of a read.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The records.
    pub items: Vec<Item>,
    /// Offset from which the next read has to continue.
    pub next: u64,
    /// Offset after the last record that the topic held at the time of the read.
    pub end: u64,
}

impl Page {
    /// Tells whether the page reaches the end of the topic.
    pub fn is_last(&self) -> bool {
        self.next >= self.end
    }
}

/// Source of an append. The log rejects appends with a lower epoch than an earlier one of the same name, and recognises
/// repeated appends by their sequence.
#[derive(Clone, Debug)]
pub struct Producer {
    /// Name; another process may take it over.
    pub name: Arc<str>,
    /// Grows whenever another process takes over the name.
    pub epoch: u64,
    /// Number of the append within the epoch, from 0.
    pub sequence: u64,
}

/// Error of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum ReadError {
    /// Records from the requested offset on have been removed.
    #[error("the records have expired: read the newest record of each key")]
    Expired,
    /// The log can't be reached, or refuses the read.
    #[error("the log can't be read ({0}): try again later")]
    Unavailable(String),
}

/// Error of an append.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum AppendError {
    /// The log refused the append; nothing was stored.
    #[error("the log refused the append ({0}): try again later")]
    Refused(String),
    /// Another process has appended under the same name with a higher epoch.
    #[error("another process appends with a higher epoch: stop appending")]
    Fenced,
    /// The sequence does not follow the last one. The log holds all appends with a sequence below `expected`.
    #[error("the log expects append {expected}: those before it are stored")]
    Sequence {
        /// Sequence that the log expects next.
        expected: u64,
    },
    /// No answer arrived, so the append may have been stored or not.
    #[error("the append got no answer ({0}): repeat it with the same sequence")]
    Unknown(String),
}

/// Decoded record of an operator.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// The configuration to put in force.
    Config(Arc<Config>),
    /// A maintenance wave to carry out.
    Wave {
        /// Number of the wave.
        number: u64,
        /// Hosts that need maintenance.
        hosts: Vec<Arc<str>>,
        /// Time within which the wave has to be done.
        duration: Duration,
        /// Largest number of hosts in maintenance at the same time.
        cap: usize,
    },
}

/// Connection to the platform's log.
pub trait Log: 'static {
    /// Reads the latest record of each key.
    fn newest(&mut self, topic: Topic) -> impl Future<Output = Result<Page, ReadError>>;

    /// Reads records from the offset `from` on. If there is none, waits for one for up to `wait`.
    fn read(
        &mut self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, ReadError>>;

    /// Appends records with their keys to [`Topic::Jobs`], either all or none. Waits for the answer for up to
    /// `timeout`.
    fn append(
        &mut self,
        producer: &Producer,
        records: &[(String, Vec<u8>)],
        timeout: Duration,
    ) -> impl Future<Output = Result<u64, AppendError>>;

    /// Appends one record to [`Topic::Seats`]. Without an answer it may still be stored, also seconds later.
    fn write_seat(
        &mut self,
        key: &str,
        value: &[u8],
    ) -> impl Future<Output = Result<(), AppendError>>;

    /// Publishes for operators that a wave is running or, if `done` is set, done.
    fn announce(&mut self, wave: u64, done: bool) -> impl Future<Output = Result<(), AppendError>>;

    /// Decodes an operator's record. Returns `None` for a record that needs no action.
    ///
    /// # Errors
    ///
    /// Names the field that is not allowed.
    fn operator_record(item: &Item) -> Result<Option<OperatorRecord>, String>;

    /// Decodes a record of the service list.
    ///
    /// # Errors
    ///
    /// Names the field that is not allowed. The runner with the key of the record must then not be used.
    fn runner(item: &Item) -> Result<runner::Change, String>;
}
