//! State that results from applying the log's records in order.

use super::{
    Entry,
    Key, //
};
use crate::{
    Id, Progress, Record,
    progress::Outcome,
    record::{
        Demand,
        Leader,
        Wave, //
    },
};
use sassafrascrank_base::prelude::*;
use slotmap::SlotMap;
use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc,
};

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// No task is known to have started.
    Queued,
    /// A task has started.
    Running,
    /// The job has ended.
    Ended(Outcome),
}

/// Numbers of jobs in a queue, or of an account.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Jobs that have not ended.
    pub active: u64,
    /// Active jobs of which no task has been started.
    pub pending: u64,
}

impl Count {
    /// Adds a job whose entry changed, with what it counted as before the change.
    fn update(&mut self, before: Self, after: Self) {
        self.active = (self.active + after.active).saturating_sub(before.active);
        self.pending = (self.pending + after.pending).saturating_sub(before.pending);
    }
}

/// What a record has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that the caller of [`Replica::apply`] has to act on.
    None,
    /// The submission of a job was read.
    Added(Key),
    /// A job was cancelled.
    Cancelled(Key),
    /// The progress of a job changed.
    Progressed(Key),
    /// A record of a leader was read.
    Leader,
    /// The progress of the wave with this number changed.
    Wave(u64),
    /// A job was removed.
    Removed(Id),
}

/// State that results from applying the log's records up to some offset, in order.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    jobs: SlotMap<Key, Entry>,
    index: HashMap<Id, Key>,
    /// Numbers of jobs by queue.
    counts: HashMap<Arc<str>, Count>,
    /// Numbers of jobs by account.
    account_counts: HashMap<Arc<str>, Count>,
    /// Bytes of memory that the jobs take whose submissions are held.
    bytes: usize,
    leader: Option<Leader>,
    waves: BTreeMap<u64, Wave>,
    /// When an order to each host was last written.
    host_orders: HashMap<Arc<str>, Time>,
    /// Bounds of the leases of runners that have started again under their names, as long as they lay ahead when they were
    /// read.
    leases: HashMap<Arc<str>, Time>,
    demand: Demand,
}

impl Replica {
    /// Applies the record at `offset`, which was read at `now`.
    pub fn apply(&mut self, offset: u64, record: Record, now: Time) -> Change {
        match record {
            Record::Job(job) => self.update(job.id, now, |entry| {
                if entry.queue.is_some() {
                    return Change::None;
                }
                entry.queue = Some(Arc::clone(&job.queue));
                entry.account.clone_from(&job.account);
                entry.submitted = job.submitted;
                entry.job = Some(job);
                Change::Added(Key::default())
            }),
            Record::Cancel(id) => self.update(id, now, |entry| {
                if entry.cancelled.is_some() {
                    return Change::None;
                }
                entry.cancelled = Some(offset);
                Change::Cancelled(Key::default())
            }),
            Record::Progress(progress) => self.update(progress.id, now, |entry| {
                if entry.progress.is_some() && offset <= entry.progress_offset {
                    return Change::None;
                }
                if entry.counts_crash(&progress) {
                    entry.crashed = now;
                }
                entry.progress = Some(progress);
                entry.progress_offset = offset;
                Change::Progressed(Key::default())
            }),
            Record::Leader(leader) => {
                let known = self.leader.as_ref().map_or(0, |known| known.epoch);
                if leader.epoch >= known {
                    self.leader = Some(leader);
                }
                Change::Leader
            }
            Record::Wave(wave) => {
                let number = wave.number;
                let known = self.waves.entry(number).or_insert_with(|| Wave {
                    number,
                    ..Wave::default()
                });
                known.epoch = known.epoch.max(wave.epoch);
                known.done |= wave.done;
                for host in wave.begun {
                    if !known.begun.contains(&host) {
                        known.begun.push(host);
                    }
                }
                Change::Wave(number)
            }
            Record::HostOrder(order) => {
                self.host_orders.insert(order.host, order.at);
                Change::None
            }
            Record::Lease(lease) => {
                self.leases.retain(|_, until| *until > now);
                if lease.until > now {
                    self.leases.insert(lease.runner, lease.until);
                }
                Change::None
            }
            Record::Demand(demand) => {
                if demand.epoch >= self.demand.epoch {
                    self.demand = demand;
                }
                Change::None
            }
            Record::Forget(id) => self.remove(id),
        }
    }

    /// Returns the key of a job; `None` unless its submission has been read.
    pub fn find(&self, id: Id) -> Option<Key> {
        let key = *self.index.get(&id)?;
        self.jobs[key].queue.is_some().then_some(key)
    }

    /// Returns the state of the job with a key.
    pub fn get(&self, key: Key) -> Option<&Entry> {
        self.jobs.get(key)
    }

    /// Returns all jobs, also those whose submission has not been read yet.
    pub fn jobs(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.jobs.iter()
    }

    /// Returns the state of a job as callers see it.
    pub fn state(&self, id: Id) -> Option<State> {
        let entry = &self.jobs[self.find(id)?];
        Some(match entry.outcome() {
            Some(outcome) => State::Ended(outcome),
            None if entry.has_begun() => State::Running,
            None => State::Queued,
        })
    }

    /// Returns the numbers of jobs in a queue.
    pub fn count(&self, queue: &str) -> Count {
        self.counts.get(queue).copied().unwrap_or_default()
    }

    /// Returns the numbers of jobs of an account.
    pub fn count_of_account(&self, account: &str) -> Count {
        self.account_counts
            .get(account)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the leader with the highest epoch.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Returns the progress of the maintenance waves, by number.
    pub fn waves(&self) -> &BTreeMap<u64, Wave> {
        &self.waves
    }

    /// Returns when leaders last wrote an order to each host.
    pub fn host_orders(&self) -> &HashMap<Arc<str>, Time> {
        &self.host_orders
    }

    /// Returns the bounds of the leases of runners that have started again under their names.
    pub fn leases(&self) -> &HashMap<Arc<str>, Time> {
        &self.leases
    }

    /// Returns the forecast of demand that the latest leader has written.
    pub fn demand(&self) -> &Demand {
        &self.demand
    }

    /// Returns up to `count` jobs whose end was read before `limit`.
    pub fn expired(&self, limit: Time, count: usize) -> Vec<Id> {
        let old = |entry: &&Entry| entry.ended.is_some_and(|ended| ended < limit);
        let ids = self.jobs.values().filter(old).map(|entry| entry.id);
        ids.take(count).collect()
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns about how many bytes of memory the jobs take that have not ended.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Tells whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Applies `change` to a job, and updates the values that are derived from it. The key in the result of `change` is
    /// replaced by that of the job.
    fn update(&mut self, id: Id, now: Time, change: impl FnOnce(&mut Entry) -> Change) -> Change {
        let jobs = &mut self.jobs;
        let key = *self
            .index
            .entry(id)
            .or_insert_with(|| jobs.insert(Entry::new(id)));
        let entry = &mut self.jobs[key];
        let before = count(entry);
        let change = change(entry);
        let after = count(entry);
        if entry.ended.is_none() && entry.outcome().is_some() {
            entry.ended = Some(now);
        }
        let active = |progress: &Arc<Progress>| progress.is_active();
        if entry.ended.is_some() && !entry.progress.as_ref().is_some_and(active) {
            // No attempt is left that the scheduler would have to stop, so the submission is no longer needed.
            entry.job = None;
        }
        if change != Change::None {
            let bytes = entry.measure();
            self.bytes = self.bytes - entry.bytes + bytes;
            entry.bytes = bytes;
        }
        if let Some(queue) = &entry.queue
            && before != after
        {
            let counted = self.counts.entry(Arc::clone(queue)).or_default();
            counted.update(before, after);
            if let Some(account) = &entry.account {
                update_account(&mut self.account_counts, account, before, after);
            }
        }
        match change {
            Change::Added(_) => Change::Added(key),
            Change::Cancelled(_) => Change::Cancelled(key),
            Change::Progressed(_) => Change::Progressed(key),
            other => other,
        }
    }

    fn remove(&mut self, id: Id) -> Change {
        let key = self.index.remove(&id);
        if let Some(entry) = key.and_then(|key| self.jobs.remove(key)) {
            self.bytes -= entry.bytes;
            if let Some(queue) = &entry.queue
                && let Some(counted) = self.counts.get_mut(queue)
            {
                counted.update(count(&entry), Count::default());
                if let Some(account) = &entry.account {
                    let counts = &mut self.account_counts;
                    update_account(counts, account, count(&entry), Count::default());
                }
            }
        }
        Change::Removed(id)
    }
}

/// Returns what a job adds to the numbers of its queue.
fn count(entry: &Entry) -> Count {
    let active = entry.queue.is_some() && entry.outcome().is_none();
    Count {
        active: u64::from(active),
        pending: u64::from(active && !entry.has_begun()),
    }
}

/// Updates the numbers of an account. Callers may use many accounts over time, so those without active jobs are not kept.
fn update_account(
    counts: &mut HashMap<Arc<str>, Count>,
    account: &Arc<str>,
    before: Count,
    after: Count,
) {
    let counted = counts.entry(Arc::clone(account)).or_default();
    counted.update(before, after);
    if *counted == Count::default() {
        counts.remove(account);
    }
}
