//! State of jobs, leader and waves, rebuilt from the log.

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

/// State of jobs, leader and waves, rebuilt from the log in the same way as entries do.
#[derive(Debug, Default)]
pub struct State {
    /// State after the records read so far.
    pub replica: Replica,
    /// Jobs as they were submitted, including those that have ended.
    pub jobs: HashMap<Id, Arc<job::Job>>,
    /// Number of records that can't be decoded.
    pub skipped: u64,
}

impl State {
    /// Reads the newest record of each key and builds the state.
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
                Ok(Some(record)) => state.apply(item.offset, record),
                Ok(None) => {}
                Err(_) => state.skipped += 1,
            }
        }
        Ok(state)
    }

    /// Applies a record with its offset in the log.
    pub fn apply(&mut self, offset: u64, record: Record) {
        if let Record::Job(job) = &record {
            self.jobs.insert(job.id, Arc::clone(job));
        }
        self.replica.apply(offset, record, Time::MIN);
    }
}
