//! Adding, updating and removing of runners.

use super::{
    Engine,
    loss::Loss, //
};
use crate::{
    job::run::{
        self,
        Stage, //
    },
    note::{
        Kind,
        Note, //
    },
    order::Order,
    queue::key,
    runner::{
        self,
        Change,
        Former,
        Listed,
        Runner, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::record;

/// Time for which a removed incarnation of a runner is kept. An order for it that is carried out later than that may not be
/// told from one for a later incarnation; the users' platform carries out orders seconds late.
const FORMER_RETENTION: Duration = Duration::from_secs(60);

impl Engine {
    /// Applies a change of the service list.
    pub fn update_runner(&mut self, change: Change, now: Time) {
        match change {
            Change::Set(listed) => self.set_listed(&listed, now),
            Change::Removed(id) => {
                if let Some(&key) = self.runner_index.get(&id) {
                    self.unlist(key, now);
                }
            }
        }
    }

    fn unlist(&mut self, key: runner::Key, now: Time) {
        self.runners[key].listed = false;
        self.drop_unlisted(key, now);
    }

    fn set_listed(&mut self, listed: &Listed, now: Time) {
        let pool = self.intern_pool(&listed.pool);
        // An entry for a pool that nothing names may come from another writer. It does not end the runners of other pools.
        let named = self.pools[pool].named;
        if let Some(&key) = self.runner_index.get(&listed.id) {
            let known = &self.runners[key];
            let known_named = self.pools[known.pool].named;
            if known_named && !named {
                self.unlist(key, now);
                return;
            }
            if known.incarnation == listed.incarnation {
                self.update_listed(key, listed, pool, now);
                return;
            }
            if known.incarnation > listed.incarnation && known_named {
                return;
            }
        }
        // No task starts there before the first answer.
        let runner = Runner::new(listed, pool, self.former_runs_until, now);
        let key = self.add_incarnation(runner, now);
        if named {
            self.end_earlier_incarnations(listed, now);
        }
        self.pools[pool].runners.push(key);
        self.note(Note::new(Kind::RunnerListed, "new", now).with_place(&listed.id));
        if listed.draining.is_some() {
            self.note(Note::new(Kind::RunnerDraining, "listed", now).with_place(&listed.id));
        }
    }

    fn update_listed(&mut self, key: runner::Key, listed: &Listed, pool: key::Pool, now: Time) {
        let runner = &mut self.runners[key];
        let was_draining = runner.leaves_at.is_some();
        runner.listed = true;
        let former = runner.address.filter(|former| *former != listed.address);
        if former.is_some() {
            runner.address_changed_at = now;
        }
        runner.address = Some(listed.address);
        runner.capacity = listed.capacity;
        runner.host = listed.host.clone();
        runner.rack = listed.rack.clone();
        runner.zone = listed.zone.clone();
        runner.labels = listed.labels.clone();
        runner.leaves_at = listed.draining.map(|left| now + left);
        // The pool of a runner that is known from the log only is a guess.
        let former = core::mem::replace(&mut runner.pool, pool);
        if former != pool {
            self.pools[former].runners.retain(|&other| other != key);
        }
        if !self.pools[pool].runners.contains(&key) {
            self.pools[pool].runners.push(key);
        }
        if listed.draining.is_some() && !was_draining {
            self.note(Note::new(Kind::RunnerDraining, "listed", now).with_place(&listed.id));
        }
    }

    /// Adds an incarnation of a runner, and ends the one that was known under its name.
    pub(super) fn add_incarnation(&mut self, runner: Runner, now: Time) -> runner::Key {
        let id = runner.id.clone();
        let key = self.runners.insert(runner);
        if let Some(&former) = self.runner_index.get(&id) {
            self.mark_rack_failure(former);
            self.record_crash(former, now);
            self.move_runs(former, key, now);
            self.end_incarnation(former, Loss::Reborn, now);
        }
        let former = self.formers.get(&id).copied();
        self.runners[key].generation = match former {
            Some(former) => former.next_generation(),
            None => self.forgotten_generation,
        };
        if let Some(former) = former {
            let runner = &mut self.runners[key];
            runner.accepts_earlier_orders = former.next_accepts_earlier_orders(runner.incarnation);
            runner.leased |= former.leased;
            let longest = self.rules.longest_lease_expiry(now);
            self.extend_earlier_lease(key, former.lease_until.min(longest), now);
        } else if self.may_follow_forgotten(self.runners[key].incarnation) {
            self.runners[key].accepts_earlier_orders = true;
        }
        self.runner_index.insert(id, key);
        self.confirm_crashes(key, now);
        key
    }

    /// Tells whether orders of the former leader for an earlier incarnation may reach a runner that began then. That leader may have
    /// forgotten the earlier one, which then neither the log nor the service list shows.
    fn may_follow_forgotten(&self, incarnation: u64) -> bool {
        let (began, limit) = (Time::from_millis(incarnation), self.rules.start_limit);
        let observed = self.former_observed;
        observed > Time::MIN && began + limit > observed && began < observed + limit
    }

    /// Replaces an incarnation of a runner by another one that has answered in its place.
    pub(super) fn replace_incarnation(
        &mut self,
        key: runner::Key,
        incarnation: u64,
        clock: Option<u64>,
        now: Time,
    ) {
        let Some(known) = self.runners.get(key) else {
            return;
        };
        // What it can run is unknown until the service list has it.
        let runner = Runner {
            host: known.host.clone(),
            address: known.address,
            ..Runner::from_log(
                known.id.clone(),
                incarnation,
                known.pool,
                self.former_runs_until,
                now,
            )
        };
        let key = self.add_incarnation(runner, now);
        self.read_clock(key, clock, now);
        self.drop_unlisted(key, now);
    }

    /// Moves those runs of an incarnation that it has not listed to a later one of the same name. Orders name the runner
    /// and not its incarnation, so the later one may have carried out the start, or may yet do so.
    fn move_runs(&mut self, from: runner::Key, to: runner::Key, now: Time) {
        let may_run = |run: &run::Key| {
            let run = &self.runs[*run];
            run.stage != Stage::Planned && !run.listed
        };
        let former = &self.runners[from];
        let until = former.runs_until.max(self.rules.longest_lease_expiry(now));
        let (alive_at, rack_failed) = (former.alive_at, former.rack_failed);
        let runs: Vec<run::Key> = former.runs.iter().copied().filter(may_run).collect();
        for key in runs {
            let run = &mut self.runs[key];
            run.runner = to;
            run.starts.move_on();
            if !run.moved {
                run.moved = true;
                run.alive_at = run.alive_at.max(alive_at);
            }
            if run.stage == Stage::Stopping {
                // The later incarnation may not know of the stop.
                run.answered_at = None;
                run.stop_ordered_at = None;
            }
            let job_key = run.task.job_key;
            let moved = run.clone();
            self.note_run(Kind::Moved, "reborn", &moved, now);
            self.runners[from].remove_run(key, &self.runs[key]);
            self.occupy(key, to, now);
            self.mark_dirty(job_key);
            // A former leader may have given the order for the earlier incarnation.
            self.extend_earlier_lease(to, until, now);
            self.runners[to].rack_failed = rack_failed;
        }
    }

    /// Ends earlier incarnations on the host of a runner, since a host has one runner at a time.
    fn end_earlier_incarnations(&mut self, listed: &Listed, now: Time) {
        if listed.host.is_empty() {
            return;
        }
        let earlier =
            |runner: &Runner| runner.host == listed.host && runner.incarnation < listed.incarnation;
        let keys = self.runners.iter().filter(|(_, runner)| earlier(runner));
        let keys: Vec<runner::Key> = keys.map(|(key, _)| key).collect();
        for key in keys {
            self.end_incarnation(key, Loss::HostReused, now);
        }
        self.void_starts_before(listed);
    }

    /// Ends an incarnation of a runner, and with it all its runs.
    pub(super) fn end_incarnation(&mut self, key: runner::Key, loss: Loss, now: Time) {
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        let id = runner.id.clone();
        let runs = runner.runs.clone();
        self.mark_rack_failure(key);
        // The crash of an incarnation that has come back under its name was recorded before its runs were moved.
        if matches!(loss, Loss::HostReused | Loss::Replaced) {
            self.record_crash(key, now);
        }
        for run in runs {
            self.lose(run, loss, now);
        }
        if matches!(loss, Loss::HostReused | Loss::HostOrdered) {
            self.void_starts_at(&id, u64::MAX);
        }
        self.settle_crashes(key, loss, now);
        self.remove_runner(key, now);
        self.note(Note::new(Kind::RunnerGone, loss.as_str(), now).with_place(&id));
    }

    /// Removes a runner that is not listed and has no runs, once it rejects orders for earlier incarnations.
    pub(super) fn drop_unlisted(&mut self, key: runner::Key, now: Time) {
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        let idle = runner.runs.is_empty() && runner.poll_sent.is_none();
        if !runner.listed && idle && !runner.is_contact_due() {
            let id = runner.id.clone();
            self.remove_runner(key, now);
            self.note(Note::new(Kind::RunnerGone, "left", now).with_place(&id));
        }
    }

    fn remove_runner(&mut self, key: runner::Key, now: Time) {
        let Some(runner) = self.runners.remove(key) else {
            return;
        };
        self.keep_former(&runner, now);
        self.pools[runner.pool]
            .runners
            .retain(|&other| other != key);
        if runner.address.is_some() {
            self.orders.push(Order::CloseConnections(runner.address));
        }
        if self.runner_index.get(&runner.id) == Some(&key) {
            self.runner_index.remove(&runner.id);
        }
    }

    /// Records the latest time at which a lease can end that a runner has granted to orders for an earlier incarnation. The next
    /// leader has to know it.
    pub(super) fn extend_earlier_lease(&mut self, key: runner::Key, until: Time, now: Time) {
        let runner = &mut self.runners[key];
        if until <= now || until <= runner.earlier_lease_until {
            return;
        }
        runner.earlier_lease_until = until;
        let id = runner.id.clone();
        let note = Note::new(Kind::RunnerLeased, "restarted", now);
        self.note(note.with_place(&id).with_age(until.since(now)));
        self.unstored_leases.push(record::Lease {
            epoch: self.epoch,
            runner: id,
            until,
        });
    }

    /// Keeps what a later incarnation has to know of a removed runner.
    fn keep_former(&mut self, removed: &Runner, now: Time) {
        let former = Former::new(removed, &self.rules, now);
        self.formers.insert(removed.id.clone(), former);
        let is_kept = |former: &Former| {
            now < former.lease_until || now.since(former.removed) < FORMER_RETENTION
        };
        for (_, forgotten) in self.formers.extract_if(|_, former| !is_kept(former)) {
            self.forgotten_generation = self.forgotten_generation.max(forgotten.generation);
        }
    }

    /// Gives up the runs on runners that do not answer, once their leases have ended.
    pub(super) fn expire_leases(&mut self, now: Time) {
        let silent = |runner: &Runner| {
            let reachable = runner.fenced && runner.misses == 0 && runner.address.is_some();
            !reachable && now > runner.last_run_end() && !runner.runs.is_empty()
        };
        let keys = self.runners.iter().filter(|(_, runner)| silent(runner));
        let keys: Vec<runner::Key> = keys.map(|(key, _)| key).collect();
        for key in keys {
            self.mark_rack_failure(key);
            for run in self.runners[key].runs.clone() {
                self.lose(run, Loss::LeaseEnded, now);
            }
        }
        let keys: Vec<runner::Key> = self.runners.keys().collect();
        for key in keys {
            self.drop_unlisted(key, now);
        }
    }
}
