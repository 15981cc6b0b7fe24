//! Maintenance waves.

use super::{
    Engine,
    host::CONFIRMING_LISTS, //
};
use crate::{
    fleet::{
        Urgency, Wave,
        host::{
            self,
            Operation,
            State, //
        },
    },
    note::{
        Kind,
        Note, //
    },
    order::Order,
    queue::key,
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::record;
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// Divisor of a pool's size, which yields the number of its hosts that may be closed at once.
const CLOSE_DIVISOR: usize = 4;

impl Engine {
    /// Adds a maintenance wave that operators requested at `since`, with its progress from the log. `cap` is the largest
    /// number of hosts in maintenance at once.
    pub fn add_wave(
        &mut self,
        number: u64,
        hosts: Vec<Arc<str>>,
        duration: Duration,
        cap: usize,
        progress: Option<&record::Wave>,
        since: Time,
    ) {
        if self.fleet.waves.contains_key(&number) {
            return;
        }
        let begun = progress.map(|progress| progress.begun.iter().cloned().collect());
        let done = progress.is_some_and(|progress| progress.done);
        self.fleet.waves.insert(
            number,
            Wave {
                number,
                hosts,
                duration,
                cap,
                since,
                begun: begun.unwrap_or_default(),
                announced: false,
                done,
            },
        );
    }

    /// Publishes the beginnings and ends of waves.
    pub(super) fn announce_waves(&mut self, now: Time) {
        let mut announcements = Vec::new();
        let index = &self.fleet.index;
        let known = !index.is_empty() && self.fleet.lists >= CONFIRMING_LISTS;
        for wave in self.fleet.waves.values_mut() {
            if !wave.announced {
                wave.announced = true;
                announcements.push((wave.number, wave.done));
            }
            let left = |name: &&Arc<str>| index.contains_key(*name) && !wave.begun.contains(*name);
            if !wave.done && known && wave.hosts.iter().find(left).is_none() {
                wave.done = true;
                self.fleet.unstored_waves.push((wave.number, None));
                announcements.push((wave.number, true));
            }
        }
        for (wave, done) in announcements {
            let reason = if done { "done" } else { "running" };
            self.note(Note::new(Kind::Wave, reason, now));
            self.orders.push(Order::Announce { wave, done });
        }
    }

    /// Orders the maintenance of hosts of a wave that are empty, and closes others so that they become empty.
    pub(super) fn advance_wave(&mut self, number: u64, now: Time) {
        let Some(wave) = self.fleet.waves.get(&number) else {
            return;
        };
        if wave.done {
            return;
        }
        let blocked = |at: Time| now < at + self.block_duration();
        let mut room = wave
            .cap
            .saturating_sub(self.fleet.in_maintenance(wave, blocked));
        let urgent = wave.is_urgent(now);
        let urgency = if urgent { Urgency::Now } else { Urgency::Soon };
        let left = wave.hosts.iter().filter(|name| !wave.begun.contains(*name));
        let keys: Vec<host::Key> = left
            .filter_map(|name| self.fleet.index.get(name).copied())
            .collect();
        for &key in &keys {
            if room == 0 {
                return;
            }
            if !self.admits_order(urgency) {
                break;
            }
            if self.is_orderable(key, now) {
                room -= 1;
                self.maintain_host(key, number, now);
            }
        }
        let closed = |key: &&host::Key| self.fleet.hosts[**key].closed_since.is_some();
        room = room.saturating_sub(keys.iter().filter(closed).count());
        let mut unusable = self.unusable_by_pool(now);
        for key in keys {
            if room == 0 {
                return;
            }
            let pool = self.fleet.hosts[key].pool;
            let count = unusable.entry(pool).or_default();
            if self.is_closable(key, urgent, *count, now) {
                room -= 1;
                *count += 1;
                self.fleet.hosts[key].closed_since = Some(now);
                self.set_closing(key, true);
            }
        }
    }

    /// Returns the number of runners of each pool that accept no tasks.
    fn unusable_by_pool(&self, now: Time) -> HashMap<key::Pool, usize> {
        let pools = self.pools.iter().map(|(key, pool)| {
            let runners = pool.runners.iter().map(|&runner| &self.runners[runner]);
            let unusable = runners.filter(|runner| !runner.accepts_tasks(now));
            (key, unusable.count())
        });
        pools.collect()
    }

    /// Returns whether a host may be closed to new tasks so that it becomes empty. `unusable` is the number of runners of
    /// its pool that accept none.
    fn is_closable(&self, key: host::Key, urgent: bool, unusable: usize, now: Time) -> bool {
        let host = &self.fleet.hosts[key];
        let Some(runner) = self.runner_of(host) else {
            return false;
        };
        let pool = &self.pools[host.pool];
        let limit = (pool.runners.len() / CLOSE_DIVISOR).max(1);
        host.listed.state == State::Up
            && host.operation.is_none()
            && host.closed_since.is_none()
            && now >= host.retry_at
            && (urgent || unusable < limit)
            && (urgent || pool.ready.is_empty())
            && self.can_be_emptied(runner, now)
    }

    fn maintain_host(&mut self, key: host::Key, wave: u64, now: Time) {
        self.close_host(key, Operation::Maintain(wave), now);
    }
}
