//! State of one job in a replica.

use crate::{
    Id,
    Job,
    Progress,
    progress::Outcome, //
};
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

slotmap::new_key_type! {
    /// Identifies a job within one replica; other processes use other keys for the same job.
    pub struct Key;
}

/// State of one job in a replica.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Identity of the job.
    pub id: Id,
    /// The job as it was submitted. `None` before the submission has been read, and after the job has ended and none of
    /// its attempts may still be running.
    pub job: Option<Arc<Job>>,
    /// Name of the queue; `None` before the submission has been read.
    pub queue: Option<Arc<str>>,
    /// Account that submitted the job, once the submission has been read; `None` also if its request needed no credential.
    pub account: Option<Arc<str>>,
    /// When an entry received the job, by the clock of that entry, once the submission has been read.
    pub submitted: Time,
    /// Offset of the record that cancelled the job.
    pub cancelled: Option<u64>,
    /// Latest progress that the leader has written.
    pub progress: Option<Arc<Progress>>,
    /// Offset of the record with `progress`.
    pub(super) progress_offset: u64,
    /// Bytes of memory that the job counts as.
    pub(super) bytes: usize,
    /// When this process read the latest record that counted another crash against a task.
    pub crashed: Time,
    /// When this process read the record that ended the job.
    pub ended: Option<Time>,
}

impl Entry {
    /// Tells whether a task has more crashes in a later progress.
    pub(super) fn counts_crash(&self, later: &Progress) -> bool {
        let known = |position| {
            let mut tasks = self.progress.iter().flat_map(|progress| &progress.tasks);
            let task = tasks.find(|task| task.position == position);
            task.map_or(0, |task| task.crashes)
        };
        let mut suspected = later.tasks.iter().filter(|task| task.crashes > 0);
        suspected.any(|task| task.crashes > known(task.position))
    }

    pub(super) fn new(id: Id) -> Self {
        Self {
            id,
            job: None,
            queue: None,
            account: None,
            submitted: Time::MIN,
            cancelled: None,
            progress: None,
            progress_offset: 0,
            bytes: 0,
            crashed: Time::MIN,
            ended: None,
        }
    }

    /// Returns about how many bytes of memory the job takes; 0 once its submission is no longer held.
    pub(super) fn measure(&self) -> usize {
        let Some(job) = &self.job else {
            return 0;
        };
        let progress = self.progress.as_ref();
        size_of::<Self>() + job.bytes() + progress.map_or(0, |progress| progress.bytes())
    }

    /// Tells whether a runner has started a task.
    pub fn has_begun(&self) -> bool {
        let progress = self.progress.as_ref();
        progress.is_some_and(|progress| progress.begun)
    }

    /// Returns how the job ended. If it was cancelled and also ended by itself, the earlier record in the log counts.
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
