//! What the book holds of one job.

use crate::{
    Id,
    Job,
    Progress,
    progress::Outcome, //
};
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

slotmap::new_key_type! {
    /// Identifies a job within one process; it has no meaning outside of it.
    pub struct Key;
}

/// What the book holds of one job.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Identity of the job.
    pub id: Id,
    /// The job, until it has ended; `None` as long as only other records of it were read.
    pub job: Option<Arc<Job>>,
    /// Queue of the job.
    pub queue: Option<Arc<str>>,
    /// Offset of the record that cancelled it.
    pub cancelled: Option<u64>,
    /// What has become of it so far.
    pub progress: Option<Arc<Progress>>,
    /// Offset of that record.
    pub(super) progress_offset: u64,
    /// When this process read the end of the job.
    pub ended: Option<Time>,
}

impl Entry {
    pub(super) fn new(id: Id) -> Self {
        Self {
            id,
            job: None,
            queue: None,
            cancelled: None,
            progress: None,
            progress_offset: 0,
            ended: None,
        }
    }

    /// Tells whether a task of the job has been ordered.
    pub fn has_begun(&self) -> bool {
        let progress = self.progress.as_ref();
        progress.is_some_and(|progress| progress.begun)
    }

    /// Returns how the job ended. Of a cancel and an end, the earlier one in the log counts.
    pub fn outcome(&self) -> Option<Outcome> {
        let progress = self.progress.as_ref();
        let ended = progress.and_then(|progress| progress.outcome);
        match (self.cancelled, ended) {
            (Some(cancelled), Some(outcome)) if self.progress_offset < cancelled => Some(outcome),
            (Some(_), _) => Some(Outcome::Cancelled),
            (None, outcome) => outcome,
        }
    }
}
