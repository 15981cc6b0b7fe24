//! Queues and pools as operators configure them.

use sassafrascrank_job::Policy;
use std::sync::Arc;

/// A queue of jobs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: Arc<str>,
    /// Host name that callers use.
    pub host: Box<str>,
    /// Path that callers use, without the job's identity.
    pub path: Box<str>,
    /// Pool, urgency, attempts and objective.
    pub terms: Policy,
    /// Runners of the queue's tasks have to be approved by the advice service.
    pub advised: bool,
}

/// A pool of hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Name.
    pub name: Arc<str>,
    /// The runners reject what exceeds their capacity.
    pub guarded: bool,
    /// The hosts are switched off and cost nothing.
    pub standby: bool,
}

/// One version of the configuration, in full.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Config {
    /// Grows with each change.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All pools.
    pub pools: Vec<Pool>,
}

impl Config {
    /// Returns the queue of a request: the longest path of the host that the request's path begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| *queue.host == *host && path.starts_with(&*queue.path);
        self.queues
            .iter()
            .filter(matches)
            .max_by_key(|queue| queue.path.len())
    }
}
