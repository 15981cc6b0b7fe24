//! Configuration of queues, pools and accounts.

use super::{
    Account,
    Accounts, //
};
use sassafrascrank_job::Policy;
use std::sync::Arc;

/// A queue of jobs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Queue {
    /// Unique name.
    pub name: Arc<str>,
    /// HTTP host of requests for the queue.
    pub host: Box<str>,
    /// Path prefix of requests for the queue; the job's identity follows it.
    pub path: Box<str>,
    /// Pool, priority, number of attempts and objective.
    pub policy: Policy,
    /// Whether the advice service has to approve the runners of the queue's tasks.
    pub advised: bool,
    /// Whether its requests need no credential.
    pub anonymous: bool,
}

/// A pool of hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Unique name.
    pub name: Arc<str>,
    /// Whether the runners reject tasks that exceed their capacity.
    pub guarded: bool,
    /// Whether the pool holds hosts that are switched off and cost nothing.
    pub standby: bool,
}

/// A complete version of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Config {
    /// Version number, which grows with each change.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// The client accounts; `None` if requests need no credential.
    pub accounts: Option<Accounts>,
}

impl Config {
    /// Returns the queue of a request: the one of the host whose path is the longest prefix of the request's path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| *queue.host == *host && path.starts_with(&*queue.path);
        self.queues
            .iter()
            .filter(matches)
            .max_by_key(|queue| queue.path.len())
    }

    /// Returns the account with a name, if the configuration has it.
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.as_ref()?.find(name)
    }

    /// Returns the accounts in the order in which they were added; none if requests need no credential.
    pub fn iter_accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter().flat_map(Accounts::iter)
    }
}
