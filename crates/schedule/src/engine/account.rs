//! Client accounts: what runs for each of them, and which tasks their caps allow to start.

use super::Engine;
use crate::{
    Config,
    account::{
        self,
        Account,
        Slot,
        Standing,
        Stray,
        Usage, //
    },
    job::{
        self,
        Run,
        TaskKey,
        run, //
    },
    note::{
        Kind,
        Note, //
    },
    order::report::Running,
    queue::{
        Rank,
        key, //
    },
    runner,
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Resource,
    replica::Entry, //
};
use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc, //
};

impl Engine {
    /// Applies the accounts of a configuration. Those that it lacks are kept, without a cap, while they have jobs.
    pub(super) fn configure_accounts(&mut self, config: &Config) {
        for row in config.iter_accounts() {
            self.intern_account(&row.name);
        }
        let jobs = self.jobs.values();
        let with_jobs: HashSet<account::Key> = jobs.filter_map(|active| active.account).collect();
        let index = &mut self.account_index;
        self.accounts.retain(|key, account| {
            account.configure(config.account(&account.name));
            let kept = account.configured
                || with_jobs.contains(&key)
                || account.used != Resource::default();
            if !kept {
                index.remove(&account.name);
            }
            kept
        });
        self.has_accounts = self.accounts.values().any(|account| account.configured);
        self.has_caps = self.accounts.values().any(Account::has_cap);
    }

    /// Takes a token of an account for a job that was submitted then.
    pub(super) fn take_token(&mut self, key: Option<account::Key>, submitted: Time) -> Standing {
        let account = key.and_then(|key| self.accounts.get_mut(key));
        let Some(account) = account.filter(|_| self.has_accounts) else {
            return Standing::Within;
        };
        let window = self.rules.account_window;
        account.bucket.take(account.weight, window, submitted)
    }

    /// Keeps that a job of a former leader has taken a token, until all are known. The log does not have them in the order of
    /// their submission.
    pub(super) fn restore_submission(&mut self, entry: &Entry, job: Option<job::Key>, now: Time) {
        if let Some(name) = &entry.account {
            let account = self.intern_account(name);
            let submitted = entry.submitted.min(now);
            self.submissions.push((submitted, entry.id, account, job));
        }
    }

    /// Determines the standing of the jobs of former leaders.
    pub(super) fn restore_standings(&mut self) {
        if self.submissions.is_empty() {
            return;
        }
        let mut submissions = core::mem::take(&mut self.submissions);
        submissions.sort_unstable();
        for (submitted, _, account, job) in submissions {
            let standing = self.take_token(Some(account), submitted);
            if let Some(active) = job.and_then(|job| self.jobs.get_mut(job)) {
                active.standing = standing;
            }
        }
        self.rank_all();
    }

    pub(super) fn intern_account(&mut self, name: &Arc<str>) -> account::Key {
        if let Some(&key) = self.account_index.get(name) {
            return key;
        }
        let key = self.accounts.insert(Account::new(Arc::clone(name)));
        self.account_index.insert(Arc::clone(name), key);
        let index = Slot::from(Some(key)).index();
        let size = self.account_slots.len().max(index + 1);
        self.account_slots.resize(size, account::Key::default());
        self.account_slots[index] = key;
        key
    }

    /// Counts a run against its account, until it is detached.
    pub(super) fn charge(&mut self, key: run::Key) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        if let Some(account) = run.account.and_then(|key| self.accounts.get_mut(key)) {
            account.used += run.full_need;
        }
    }

    /// Ends the count of a run against its account.
    pub(super) fn discharge(&mut self, run: &Run) {
        if let Some(account) = run.account.and_then(|key| self.accounts.get_mut(key)) {
            account.used -= run.full_need;
        }
    }

    /// Returns what operators see of the accounts, sorted by name.
    pub fn usage(&self) -> Vec<Usage> {
        let mut waiting: HashMap<account::Key, (u64, u64)> = HashMap::new();
        let jobs = self.jobs.values();
        for active in jobs.filter(|active| !active.begun && active.outcome.is_none()) {
            if let Some(account) = active.account {
                let (within, beyond) = waiting.entry(account).or_default();
                match active.standing {
                    Standing::Within => *within += 1,
                    Standing::Beyond => *beyond += 1,
                }
            }
        }
        let row = |(key, account): (account::Key, &Account)| {
            let (within, beyond) = waiting.get(&key).copied().unwrap_or_default();
            Usage {
                name: Arc::clone(&account.name),
                used: account.used,
                cap: account.cap,
                within,
                beyond,
            }
        };
        let mut rows: Vec<Usage> = self.accounts.iter().map(row).collect();
        rows.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        rows
    }

    /// Returns the account of a task that has a cap, and what the task or all members of its gang need.
    fn capped_start(&self, task: TaskKey) -> Option<(account::Key, &Account, Resource)> {
        // Without caps, a round of placement does not look up the job of each waiting task.
        if !self.has_caps {
            return None;
        }
        let active = self.jobs.get(task.job_key)?;
        let key = active.account?;
        let account = self.accounts.get(key).filter(|account| account.has_cap())?;
        Some((key, account, self.start_need(task)?))
    }

    /// Returns what a task needs, or all members of its gang, since they start together.
    pub(super) fn start_need(&self, task: TaskKey) -> Option<Resource> {
        let spec = self.step_spec(task)?;
        Some(match spec.gang {
            true => total(spec.need, spec.count),
            false => spec.need,
        })
    }

    /// Tells whether the cap of its account keeps a task waiting, as well as all others of the account. It spares a look at
    /// each of them.
    pub(super) fn is_exhausted(&self, rank: Rank) -> bool {
        let key = self.account_slots.get(rank.account.index());
        let account = key
            .filter(|_| self.has_caps)
            .and_then(|&key| self.accounts.get(key));
        account.is_some_and(|account| {
            account.has_cap() && (!self.starts_capped || account.is_exhausted_by(account.used))
        })
    }

    /// Tells whether the cap of its account keeps a task waiting.
    pub(super) fn is_capped(&self, task: TaskKey) -> bool {
        let start = self.capped_start(task);
        start.is_some_and(|(_, account, need)| !self.starts_capped || !account.admits(need))
    }

    /// Tells whether a run could start again on another runner once it has stopped.
    pub(super) fn may_return(&self, run: &Run) -> bool {
        let account = run.account.and_then(|key| self.accounts.get(key));
        account.is_none_or(|account| !account.is_exceeded_by(run.full_need))
    }

    /// Tells whether a planned run has to wait for a newer configuration, which may have lowered the cap of its account.
    pub(super) fn awaits_configuration(&self, key: run::Key) -> bool {
        let run = self.runs.get(key).filter(|_| !self.starts_capped);
        let account = run.and_then(|run| self.accounts.get(run.account?));
        account.is_some_and(Account::has_cap)
    }

    /// Returns the waiting tasks of a pool that could start together if there were room for all of them on its runners,
    /// in their order.
    pub(super) fn startable_tasks(&self, pool: key::Pool) -> impl Iterator<Item = TaskKey> {
        let mut planned: HashMap<account::Key, Resource> = HashMap::new();
        let ready = self.pools[pool].ready.iter();
        let startable = ready.filter(move |rank| {
            let known = self.account_slots.get(rank.account.index());
            let known = known.and_then(|key| Some((self.accounts.get(*key)?, planned.get(key)?)));
            if known.is_some_and(|(account, &planned)| account.is_exhausted_by(planned)) {
                return false;
            }
            let task = rank.task;
            let Some((key, account, whole)) = self.capped_start(task) else {
                return true;
            };
            // A gang whose members do not fit together needs no runners.
            if !account.admits(whole) {
                return false;
            }
            let need = self.step_spec(task).map(|spec| spec.need);
            let need = need.unwrap_or_default();
            let planned = planned.entry(key).or_insert(account.used);
            let admitted = account.admits_beside(*planned, need);
            if admitted {
                *planned += need;
            }
            admitted
        });
        startable.map(|rank| rank.task)
    }

    /// Counts a run that a runner lists although it was given up, for the time that its stop can take.
    pub(super) fn charge_stray(&mut self, runner: runner::Key, row: &Running, now: Time) {
        let Some(&job_key) = self.job_index.get(&row.task.job) else {
            return;
        };
        let active = &self.jobs[job_key];
        let spec = active.job.steps.get(usize::from(row.task.position.step));
        let (Some(account), Some(spec)) = (active.account, spec) else {
            return;
        };
        let stray = Stray {
            runner,
            task: row.task,
            attempt: row.attempt,
            account,
            need: spec.need,
            until: now + self.rules.stop_limit,
        };
        if !self.strays.contains(runner, row.task, row.attempt) {
            self.accounts[account].used += stray.need;
        }
        if let Some(dropped) = self.strays.insert(stray) {
            self.note(Note::new(Kind::Foreign, "uncounted", now).with_job(dropped.task.job));
            self.discharge_stray(dropped);
        }
    }

    /// Ends the count of runs that were given up and have stopped by now.
    pub(super) fn discharge_strays(&mut self, now: Time) {
        for stray in self.strays.expire(now) {
            self.discharge_stray(stray);
        }
    }

    fn discharge_stray(&mut self, stray: Stray) {
        if let Some(account) = self.accounts.get_mut(stray.account) {
            account.used -= stray.need;
        }
    }
}

/// Returns what `count` tasks need that need `each`.
fn total(each: Resource, count: u16) -> Resource {
    let count = u64::from(count);
    Resource {
        cpu: each.cpu.saturating_mul(count),
        memory: each.memory.saturating_mul(count),
        gpu: each.gpu.saturating_mul(count),
    }
}
