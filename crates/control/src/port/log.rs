//! The platform's log.

use core::future::Future;
use sassafrascrank_base::prelude::*;
use sassafrascrank_schedule::{
    config::Config,
    runner, //
};
use std::sync::Arc;

/// Topics that the threads read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// Jobs, their progress, and the leader.
    Jobs,
    /// Configuration and waves, written by operators.
    Operator,
    /// The service list, written by runners.
    Runners,
}

impl Topic {
    /// Returns the name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Jobs => "jobs",
            Self::Operator => "operator",
            Self::Runners => "runners",
        }
    }
}

/// A keyed record; an empty value drops the key.
#[derive(Clone, Debug)]
pub struct Item {
    /// Its position in the topic.
    pub offset: u64,
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// Records, and the offset from which to read on.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The records.
    pub items: Vec<Item>,
    /// Offset from which to read on.
    pub next: u64,
    /// Offset after the last record that the log held.
    pub end: u64,
}

impl Page {
    /// Tells whether the page reaches the end that the log had.
    pub fn is_last(&self) -> bool {
        self.next >= self.end
    }
}

/// Who appends; the log rejects lower epochs of a name and recognises repeats by the sequence.
#[derive(Clone, Debug)]
pub struct Producer {
    /// Name; a name may pass from one process to another.
    pub name: Arc<str>,
    /// Grows when the name passes on.
    pub epoch: u64,
    /// Number of the append, from 0 in each epoch.
    pub sequence: u64,
}

/// A read failed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum ReadError {
    /// The records have expired.
    #[error("the records have expired: read the newest record of each key")]
    Expired,
    /// The log can't be reached or refuses.
    #[error("the log can't be read ({0}): try again later")]
    Unavailable(String),
}

/// An append failed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum AppendError {
    /// Nothing was appended.
    #[error("the log refused the append ({0}): try again later")]
    Refused(String),
    /// A higher epoch has appended.
    #[error("another process appends with a higher epoch: stop appending")]
    Fenced,
    /// The sequence does not follow the last one; the log holds all appends below `expected`.
    #[error("the log expects append {expected}: those before it are stored")]
    Sequence {
        /// Sequence of the next append.
        expected: u64,
    },
    /// The append may have taken effect.
    #[error("the append got no answer ({0}): repeat it with the same sequence")]
    Unknown(String),
}

/// What an operator's record says.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// A configuration.
    Config(Arc<Config>),
    /// A maintenance wave.
    Wave {
        /// Its number.
        number: u64,
        /// Hosts that need maintenance.
        hosts: Vec<Arc<str>>,
        /// Time within which it has to be done.
        duration: Duration,
        /// Hosts that may be in maintenance at once.
        cap: usize,
    },
}

/// The platform's log, over one connection.
pub trait Log: 'static {
    /// Reads the newest record of each key.
    fn newest(&mut self, topic: Topic) -> impl Future<Output = Result<Page, ReadError>>;

    /// Reads from an offset on, and waits for a record if there is none.
    fn read(
        &mut self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, ReadError>>;

    /// Appends records to the jobs, all or none.
    fn append(
        &mut self,
        producer: &Producer,
        records: &[(String, Vec<u8>)],
        timeout: Duration,
    ) -> impl Future<Output = Result<u64, AppendError>>;

    /// Publishes the state of a wave for operators.
    fn announce(&mut self, wave: u64, done: bool) -> impl Future<Output = Result<(), AppendError>>;

    /// Decodes an operator's record; `None` for one that says nothing to the system.
    ///
    /// # Errors
    ///
    /// Names the field that is not allowed.
    fn operator_record(item: &Item) -> Result<Option<OperatorRecord>, String>;

    /// Decodes a record of the service list.
    ///
    /// # Errors
    ///
    /// Names the field that is not allowed. The record then names no runner to use.
    fn runner(item: &Item) -> Result<runner::Change, String>;
}
