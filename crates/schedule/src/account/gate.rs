//! Refusal of submissions of accounts that submit more than they are guaranteed while their jobs wait.

use super::Bucket;
use crate::config::{
    Account,
    Accounts, //
};
use sassafrascrank_base::{
    hash,
    prelude::*, //
};
use sassafrascrank_job::Id;
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// Number of jobs of an account that may wait whatever its rate is. Small accounts submit a few jobs at once.
const BACKLOG: u64 = 8;
/// Time whose jobs at the guaranteed rate may wait beyond that. A job of them begins before most callers repeat it.
const BACKLOG_TIME: Duration = Duration::from_secs(2);
/// Shortest time after which a refused caller is asked to come again, which is the unit of the answer.
const RETRY_MIN: Duration = Duration::from_secs(1);
/// Longest such time before it is spread. The load may have changed by then.
const RETRY_MAX: Duration = Duration::from_secs(8);
/// Time after which a submission no longer counts as unread. It has been read by then, or was not stored.
const UNREAD_LIMIT: Duration = Duration::from_secs(30);

/// What is known of one account.
#[derive(Clone, Debug, Default)]
struct Row {
    bucket: Bucket,
    /// Number of its submissions through this entry that have not been read from the log.
    unread: u64,
}

/// A submission through this entry that has not been read from the log.
#[derive(Clone, Debug)]
struct Unread {
    account: Arc<str>,
    at: Time,
}

/// Decides which submissions are refused because of the load of their account.
#[derive(Clone, Debug)]
pub struct Gate {
    /// Time in which the allowance of an account is refilled.
    window: Duration,
    /// Accounts of the present configuration that have submitted jobs.
    rows: HashMap<Arc<str>, Row>,
    unread: HashMap<Id, Unread>,
}

impl Gate {
    /// Creates a gate that knows no jobs. The allowance of an account is refilled within `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            rows: HashMap::new(),
            unread: HashMap::new(),
        }
    }

    /// Forgets accounts that the configuration lacks.
    pub fn configure(&mut self, accounts: Option<&Accounts>) {
        let is_known = |name: &str| accounts.is_some_and(|accounts| accounts.find(name).is_some());
        self.rows.retain(|name, _| is_known(name));
        self.unread.retain(|_, unread| is_known(&unread.account));
    }

    /// Counts a job that was read from the log.
    pub fn record_job(&mut self, account: &Account, submitted: Time) {
        let row = self.rows.entry(Arc::clone(&account.name)).or_default();
        row.bucket.take(account.weight, self.window, submitted);
    }

    /// Counts a submission that this entry appends to the log.
    pub fn record_submission(&mut self, account: &Account, id: Id, now: Time) {
        let account = Arc::clone(&account.name);
        let row = self.rows.entry(Arc::clone(&account)).or_default();
        let unread = Unread { account, at: now };
        if self.unread.insert(id, unread).is_none() {
            row.unread += 1;
        }
    }

    /// Ends the count of a submission that was read from the log or was not stored.
    pub fn settle(&mut self, id: Id) {
        if let Some(unread) = self.unread.remove(&id)
            && let Some(row) = self.rows.get_mut(&unread.account)
        {
            row.unread = row.unread.saturating_sub(1);
        }
    }

    /// Ends the count of submissions whose outcome will not be known.
    pub fn expire(&mut self, now: Time) {
        let old = |unread: &Unread| now.since(unread.at) >= UNREAD_LIMIT;
        let ids = self.unread.iter().filter(|(_, unread)| old(unread));
        let ids: Vec<Id> = ids.map(|(id, _)| *id).collect();
        for id in ids {
            self.settle(id);
        }
    }

    /// Returns the time after which the caller of a submission should come again, in whole seconds; `None` if the submission
    /// is not refused. `pending` is the number of jobs of the account in the log that have not begun.
    pub fn check(&self, account: &Account, id: Id, pending: u64, now: Time) -> Option<Duration> {
        let row = self.rows.get(&account.name).cloned().unwrap_or_default();
        let waiting = pending + row.unread;
        if waiting <= backlog_limit(account.weight) {
            return None;
        }
        let time_until = |jobs| {
            let (weight, window) = (account.weight, self.window);
            row.bucket.time_until(jobs, weight, window, now)
        };
        // Submissions that were not read yet will take tokens.
        if time_until(row.unread + 1) == Some(Duration::ZERO) {
            return None;
        }
        let wait = time_until(waiting).unwrap_or(RETRY_MAX);
        let seconds = wait.clamp(RETRY_MIN, RETRY_MAX).as_secs_f64().ceil() as u64;
        let spread = hash::mix(id.0) % (seconds + 1);
        Some(Duration::from_secs(seconds + spread))
    }
}

/// Returns how many jobs of an account may wait while it is beyond its rate.
fn backlog_limit(weight: u32) -> u64 {
    let at_rate = u64::from(weight) * BACKLOG_TIME.as_millis() as u64 / 1_000_000;
    at_rate + BACKLOG
}
