//! The records of the log, folded as the entries fold them.

use crate::cli::Error;
use core::net::SocketAddr;
use error_stack::{
    Report,
    ResultExt, //
};
use sassafrascrank_adapter::Log;
use sassafrascrank_base::prelude::*;
use sassafrascrank_control::port::{
    Log as _,
    Topic, //
};
use sassafrascrank_job::{
    self as job,
    Id,
    Record,
    Replica,
    record, //
};
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// The records of the log, folded as the entries fold them.
#[derive(Debug, Default)]
pub struct State {
    /// The fold.
    pub book: Replica,
    /// Jobs as they were submitted, also those that have ended.
    pub jobs: HashMap<Id, Arc<job::Job>>,
    /// Records that can't be read.
    pub skipped: u64,
}

impl State {
    /// Reads the newest record of each key.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be read.
    pub async fn read(address: SocketAddr) -> Result<Self, Report<Error>> {
        let mut log = Log::new(address);
        let page = log.newest(Topic::Jobs).await;
        let page = page.change_context(Error::Log)?;
        let mut state = Self::default();
        for item in page.items {
            match record::decode(&item.key, &item.value) {
                Ok(record) => state.apply(item.offset, record),
                Err(_) => state.skipped += 1,
            }
        }
        Ok(state)
    }

    /// Folds a record.
    pub fn apply(&mut self, offset: u64, record: Record) {
        if let Record::Job(job) = &record {
            self.jobs.insert(job.id, Arc::clone(job));
        }
        self.book.apply(offset, record, Time::MIN);
    }
}
