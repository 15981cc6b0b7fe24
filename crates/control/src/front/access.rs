//! Which jobs a caller may ask for, cancel or submit again.

use std::sync::Arc;

/// For whom a caller acts, and through which queue.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Access {
    /// Queue that the request names.
    pub queue: Arc<str>,
    /// Account of the caller; `None` if the queue needs no credential.
    pub account: Option<Arc<str>>,
}

impl Access {
    /// Tells whether the caller may act on a job of the queue and the account.
    ///
    /// A job without an account belongs to whoever knows its identity. A queue that needs no credential any more gives
    /// access to all jobs that were submitted to it before.
    pub fn permits(&self, queue: &str, account: Option<&str>) -> bool {
        match (&self.account, account) {
            (_, None) => true,
            (Some(own), Some(owner)) => **own == *owner,
            (None, Some(_)) => *self.queue == *queue,
        }
    }

    /// Tells whether the caller may act on a job that `owner` has submitted.
    pub fn permits_job_of(&self, owner: &Self) -> bool {
        self.permits(&owner.queue, owner.account.as_deref())
    }
}
