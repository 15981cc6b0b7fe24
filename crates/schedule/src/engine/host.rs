//! Orders to hosts: maintenance waves.

use super::{
    Engine,
    engine::Effect, //
};
use crate::{
    fleet::{
        Host, Wave,
        host::{
            self,
            Listed,
            Outcome,
            State,
            Task, //
        },
    },
    note::{
        Kind,
        Note, //
    },
    order::{
        self,
        Action,
        Order, //
    },
    queue::key,
    runner,
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::record;
use std::sync::Arc;

/// Time between two host lists while hosts are on their way.
const LIST_BUSY: Duration = Duration::from_millis(500);
/// Time between two host lists otherwise.
const LIST_IDLE: Duration = Duration::from_millis(2_000);
/// Time after which an order without an answer is repeated.
const REPEAT: Duration = Duration::from_millis(1_500);
/// Time after the log has named a host as ordered up to which the order is sent. A new leader leaves the host alone for
/// [`Rules::host_lease`](crate::Rules::host_lease) and a margin, which also have to cover a call without an answer.
const ORDER_LIMIT: Duration = Duration::from_millis(1_000);
/// Pause after an order that failed.
const REST: Duration = Duration::from_millis(700);
/// Time within which an accepted order shows in the host list, at the latest.
const SHOWN: Duration = Duration::from_millis(1_200);
/// Difference between the clocks of two entries that is allowed for.
const CLOCK_MARGIN: Duration = Duration::from_millis(700);
/// Time for which a host is kept closed although it does not become empty.
const CLOSE_LIMIT: Duration = Duration::from_millis(6_000);
/// Time from the first try of an order for which a busy host counts as away because of a try without an answer.
const DOUBT_LIMIT: Duration = Duration::from_millis(8_000);
/// Hosts of one pool that may be closed at once, as a divisor of the pool's size.
const CLOSE_SHARE: usize = 4;

impl Engine {
    /// Takes a wave that operators ask for, with what the log says of its progress.
    pub fn add_wave(
        &mut self,
        number: u64,
        hosts: Vec<Arc<str>>,
        duration: Duration,
        cap: usize,
        progress: Option<&record::Wave>,
        now: Time,
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
                since: now,
                begun: begun.unwrap_or_default(),
                announced: false,
                done,
            },
        );
    }

    /// Takes the list of hosts, or that it can't be had.
    pub(super) fn take_hosts(&mut self, hosts: Option<Vec<Listed>>, now: Time) {
        let asked = self.fleet.asked.take().unwrap_or(now);
        let busy = self.fleet.hosts.values().any(|host| host.task.is_some());
        let waves = self.fleet.waves.values().any(|wave| !wave.done);
        let pause = if busy || waves { LIST_BUSY } else { LIST_IDLE };
        self.fleet.ask_at = now + pause;
        let Some(hosts) = hosts else {
            return;
        };
        let mut names: Vec<Arc<str>> = Vec::with_capacity(hosts.len());
        for listed in hosts {
            names.push(Arc::clone(&listed.name));
            self.set_host(listed, asked, now);
        }
        let missing = |(name, _): &(&Arc<str>, &host::Key)| !names.contains(name);
        let gone: Vec<Arc<str>> = self
            .fleet
            .index
            .iter()
            .filter(missing)
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in gone {
            if let Some(key) = self.fleet.index.remove(&name) {
                self.fleet.hosts.remove(key);
            }
        }
    }

    fn set_host(&mut self, listed: Listed, asked: Time, now: Time) {
        let pool = self.intern_pool(&listed.pool);
        let name = Arc::clone(&listed.name);
        let Some(&key) = self.fleet.index.get(&name) else {
            let key = self.fleet.hosts.insert(Host {
                listed,
                pool,
                task: None,
                number: 0,
                ending: None,
                doubtful: false,
                ordered: Time::MIN,
                accepted: false,
                rest: now,
                idle: None,
                closed: None,
            });
            self.fleet.index.insert(name, key);
            return;
        };
        let known = &mut self.fleet.hosts[key];
        // A list that was asked for before the order took effect may still show the former state.
        let fresh = asked > known.ordered + SHOWN || listed.state != State::Up;
        // A host that is away shows that an order without an answer was carried out.
        let away = match known.task {
            Some(Task::Maintain(_)) => listed.state == State::Maintenance,
            Some(Task::Move(_)) => listed.state == State::Moving,
            None => false,
        };
        let carried_out = known.doubtful && !known.accepted && away;
        let settled = known.accepted && fresh && listed.state == State::Up;
        known.pool = pool;
        known.listed = listed;
        if settled {
            known.task = None;
            known.accepted = false;
            known.closed = None;
        }
        if carried_out {
            self.accept(key, now);
        }
    }

    /// Orders what waves and pools need.
    pub(super) fn manage_hosts(&mut self, now: Time) {
        if self.fleet.asked.is_none() && now >= self.fleet.ask_at {
            self.fleet.asked = Some(now);
            self.orders.push(Order::ListHosts);
        }
        self.watch_idle(now);
        self.announce_waves(now);
        let numbers: Vec<u64> = self.fleet.waves.keys().copied().collect();
        for number in numbers {
            self.advance_wave(number, now);
        }
        self.repeat_host_orders(now);
        self.balance(now);
    }

    /// Returns the runner of a host in its present pool.
    pub(super) fn runner_of(&self, host: &Host) -> Option<runner::Key> {
        let id = host.listed.runner.as_ref()?;
        self.runner_index.get(id).copied()
    }

    /// Notes since when hosts are without work.
    fn watch_idle(&mut self, now: Time) {
        let keys: Vec<host::Key> = self.fleet.hosts.keys().collect();
        for key in keys {
            let host = &self.fleet.hosts[key];
            let runner = self.runner_of(host);
            let idle = runner.is_none_or(|runner| self.runners[runner].runs.is_empty());
            let host = &mut self.fleet.hosts[key];
            host.idle = match idle {
                true => Some(host.idle.unwrap_or(now)),
                false => None,
            };
            if let Some(closed) = host.closed
                && host.task.is_none()
                && now > closed + CLOSE_LIMIT
            {
                host.closed = None;
                host.rest = now + REST;
                self.set_closing(key, false);
            }
        }
    }

    /// Opens or closes the runner of a host for new work.
    fn set_closing(&mut self, key: host::Key, closing: bool) {
        let runner = self.runner_of(&self.fleet.hosts[key]);
        if let Some(runner) = runner.and_then(|runner| self.runners.get_mut(runner)) {
            runner.closing = closing;
        }
    }

    fn announce_waves(&mut self, now: Time) {
        let mut news = Vec::new();
        let index = &self.fleet.index;
        let known = !index.is_empty();
        for wave in self.fleet.waves.values_mut() {
            if !wave.announced {
                wave.announced = true;
                news.push((wave.number, wave.done));
            }
            let left = |name: &&Arc<str>| index.contains_key(*name) && !wave.begun.contains(*name);
            if !wave.done && known && wave.hosts.iter().find(left).is_none() {
                wave.done = true;
                self.fleet.unstored.push((wave.number, None));
                news.push((wave.number, true));
            }
        }
        for (wave, done) in news {
            let reason = if done { "done" } else { "running" };
            self.note(Note::new(Kind::Wave, reason, now));
            self.orders.push(Order::Announce { wave, done });
        }
    }

    /// Maintains hosts of a wave that are empty, and closes others so that they become empty.
    fn advance_wave(&mut self, number: u64, now: Time) {
        let Some(wave) = self.fleet.waves.get(&number) else {
            return;
        };
        if wave.done {
            return;
        }
        let blocked = |at: Time| now < at + self.block_time();
        let mut room = wave
            .cap
            .saturating_sub(self.fleet.in_maintenance(wave, blocked));
        let hurry = now.since(wave.since) * 2 > wave.duration;
        let left = wave.hosts.iter().filter(|name| !wave.begun.contains(*name));
        let keys: Vec<host::Key> = left
            .filter_map(|name| self.fleet.index.get(name).copied())
            .collect();
        for &key in &keys {
            if room == 0 {
                return;
            }
            if self.is_touchable(key, now) {
                room -= 1;
                self.maintain(key, number, now);
            }
        }
        let closed = |key: &&host::Key| self.fleet.hosts[**key].closed.is_some();
        room = room.saturating_sub(keys.iter().filter(closed).count());
        for key in keys {
            if room == 0 {
                return;
            }
            if self.is_closable(key, hurry, now) {
                room -= 1;
                self.fleet.hosts[key].closed = Some(now);
                self.set_closing(key, true);
            }
        }
    }

    /// Tells whether a host may be moved or maintained now: it is up and runs nothing.
    pub(super) fn is_touchable(&self, key: host::Key, now: Time) -> bool {
        let host = &self.fleet.hosts[key];
        let empty = match self.runner_of(host) {
            Some(runner) => {
                let runner = &self.runners[runner];
                runner.runs.is_empty() && runner.leaves.is_none()
            }
            // A runner that the service list lacks may run tasks, unless the pool's hosts are switched off.
            None => self.pools[host.pool].standby || host.listed.runner.is_none(),
        };
        let before = self.fleet.before.get(&host.listed.name);
        let blocked = before.is_some_and(|at| now < *at + self.block_time());
        host.listed.state == State::Up
            && host.task.is_none()
            && now >= host.rest
            && empty
            && !blocked
    }

    /// Returns how long a host is left alone after an order by a former leader.
    fn block_time(&self) -> Duration {
        self.rules.host_lease + CLOCK_MARGIN
    }

    /// Tells whether a host may be closed so that it becomes empty.
    fn is_closable(&self, key: host::Key, hurry: bool, now: Time) -> bool {
        let host = &self.fleet.hosts[key];
        let Some(runner) = self.runner_of(host) else {
            return false;
        };
        let pool = &self.pools[host.pool];
        let closed = pool
            .runners
            .iter()
            .filter(|&&key| !self.runners[key].is_open(now));
        let limit = (pool.runners.len() / CLOSE_SHARE).max(1);
        host.listed.state == State::Up
            && host.task.is_none()
            && host.closed.is_none()
            && now >= host.rest
            && (hurry || closed.count() < limit)
            && (hurry || pool.ready.is_empty())
            && self.is_clearable(runner, now)
    }

    fn maintain(&mut self, key: host::Key, wave: u64, now: Time) {
        self.close_host(key, Task::Maintain(wave), now);
    }

    /// Closes a host for an order that is given once the log names it.
    pub(super) fn close_host(&mut self, key: host::Key, task: Task, now: Time) {
        self.set_closing(key, true);
        let runner = self.runner_of(&self.fleet.hosts[key]);
        let host = &mut self.fleet.hosts[key];
        host.task = Some(task);
        host.number += 1;
        host.ending = runner;
        host.doubtful = false;
        host.accepted = false;
        host.closed = Some(now);
        self.name_order(key, now);
    }

    /// Lets the log name the host as ordered now; the order follows.
    fn name_order(&mut self, key: host::Key, now: Time) {
        self.fleet.hosts[key].ordered = now;
        self.fleet.unnamed.push(key);
        self.effects.push(Effect::Order(key));
    }

    /// Gives the order that a host has, or lets the log name it again if that is too long ago.
    pub(super) fn order_host(&mut self, key: host::Key, now: Time) {
        let host = &self.fleet.hosts[key];
        let until = host.ordered + ORDER_LIMIT;
        if now > until {
            self.name_order(key, now);
            return;
        }
        let name = Arc::clone(&host.listed.name);
        let fence = self.epoch;
        let number = host.number;
        let (kind, action) = match host.task {
            Some(Task::Maintain(wave)) => (Kind::HostMaintained, Action::Maintain(wave)),
            Some(Task::Move(pool)) => (Kind::HostMoved, Action::Move(self.pool_name(pool))),
            None => return,
        };
        self.orders.push(Order::Host(order::Host {
            host: key,
            name: Arc::clone(&name),
            number,
            action,
            until,
            fence,
        }));
        self.note(Note::new(kind, "ordered", now).with_place(&name));
    }

    fn pool_name(&self, pool: key::Pool) -> Arc<str> {
        Arc::clone(&self.pools[pool].name)
    }

    fn repeat_host_orders(&mut self, now: Time) {
        let due =
            |host: &Host| host.task.is_some() && !host.accepted && now >= host.ordered + REPEAT;
        let keys = self.fleet.hosts.iter().filter(|(_, host)| due(host));
        let keys: Vec<host::Key> = keys.map(|(key, _)| key).collect();
        for key in keys {
            self.name_order(key, now);
        }
    }

    /// Takes what came of an order to a host.
    pub(super) fn take_host(&mut self, key: host::Key, number: u32, outcome: Outcome, now: Time) {
        if outcome == Outcome::Fenced {
            self.deposed = true;
            return;
        }
        let Some(host) = self.fleet.hosts.get_mut(key) else {
            return;
        };
        // The answer to an earlier order says nothing about the present one, nor about the runner that came after it.
        if host.number != number || host.task.is_none() || host.accepted {
            return;
        }
        match outcome {
            Outcome::Done => self.accept(key, now),
            Outcome::Unknown => host.doubtful = true,
            // It may be away because of an earlier try; the host list shows it, or the next try finds it done.
            Outcome::Busy | Outcome::Refused
                if host.doubtful && now < host.closed.unwrap_or(now) + DOUBT_LIMIT => {}
            _ => {
                host.task = None;
                host.closed = None;
                host.rest = now + REST;
                let name = Arc::clone(&host.listed.name);
                self.set_closing(key, false);
                let note = Note::new(Kind::HostFailed, reason(outcome), now);
                self.note(note.with_place(&name));
            }
        }
    }

    /// Notes that an order to a host was carried out: the runner that it had is gone.
    fn accept(&mut self, key: host::Key, now: Time) {
        let host = &mut self.fleet.hosts[key];
        host.accepted = true;
        let name = Arc::clone(&host.listed.name);
        let ending = host.ending.take();
        if let Some(Task::Maintain(wave)) = host.task
            && let Some(wave) = self.fleet.waves.get_mut(&wave)
            && wave.begun.insert(Arc::clone(&name))
        {
            self.fleet.unstored.push((wave.number, Some(name)));
        }
        if let Some(runner) = ending {
            self.gone(runner, "host-ordered", now);
        }
    }
}

/// Returns the name of an outcome in logs.
fn reason(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Busy => "busy",
        Outcome::Rejected => "rejected",
        Outcome::Fenced => "fenced",
        Outcome::Refused => "refused",
        Outcome::Unknown => "unknown",
    }
}
