//! Hosts, and orders to them.

use super::{
    Engine,
    engine::Effect,
    loss::Loss,
    suspicion::Verdict, //
};
use crate::{
    fleet::{
        Host, Urgency,
        host::{
            self,
            Listed,
            Operation,
            Outcome,
            State, //
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
use std::sync::Arc;

/// Time between two rounds of decisions on hosts, which go over all of them.
const MANAGE_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two requests for the host list while an operation or a wave is going on.
const LIST_INTERVAL_BUSY: Duration = Duration::from_millis(500);
/// Time between two requests for the host list otherwise.
const LIST_INTERVAL_IDLE: Duration = Duration::from_millis(2_000);
/// Time after which an unanswered order is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time within which an order has to be sent after the time that the log states for it. A new leader gives the host no
/// order for [`Rules::host_lease`](crate::Rules::host_lease) and a margin from that time, which also has to cover a
/// call without an answer.
pub(super) const SEND_LIMIT: Duration = Duration::from_millis(1_000);
/// Time after a failed order during which the host gets no other.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Time within which the host list reflects an order that was carried out.
const LIST_DELAY_LIMIT: Duration = Duration::from_millis(1_200);
/// Allowed difference between the clocks of two leaders.
const CLOCK_MARGIN: Duration = Duration::from_millis(700);
/// Time after which a host that does not become empty is opened again for new tasks.
const CLOSE_LIMIT: Duration = Duration::from_millis(6_000);
/// Time from the first attempt of an order during which a host that answers that it is busy is assumed to be executing
/// an earlier, unanswered attempt.
const DOUBT_LIMIT: Duration = Duration::from_millis(8_000);
/// Number of host lists in a row that have to lack a host before it counts as gone. A list is read in pages that are no
/// snapshot, so a single one may lack a host that exists.
pub(super) const CONFIRMING_LISTS: u32 = 2;

impl Engine {
    /// Handles the list of hosts, or with `None` the failure to get it.
    pub(super) fn handle_host_list(&mut self, hosts: Option<Vec<Listed>>, now: Time) {
        let asked = self.fleet.list_requested.take().unwrap_or(now);
        let busy = self
            .fleet
            .hosts
            .values()
            .any(|host| host.operation.is_some());
        let waves = self.fleet.waves.values().any(|wave| !wave.done);
        let pause = if busy || waves {
            LIST_INTERVAL_BUSY
        } else {
            LIST_INTERVAL_IDLE
        };
        self.fleet.next_list = now + pause;
        let Some(hosts) = hosts else {
            return;
        };
        self.fleet.lists += 1;
        for host in self.fleet.hosts.values_mut() {
            host.misses += 1;
        }
        for listed in hosts {
            if listed.state == State::Down {
                self.resolve_suspicions_on(&listed.name, Verdict::Crashed, "host-down", now);
            }
            self.set_host(listed, asked, now);
        }
        let gone = |host: &Host| host.misses >= CONFIRMING_LISTS;
        self.fleet.hosts.retain(|_, host| !gone(host));
        let hosts = &self.fleet.hosts;
        self.fleet.index.retain(|_, key| hosts.contains_key(*key));
    }

    fn set_host(&mut self, listed: Listed, asked: Time, now: Time) {
        let pool = self.intern_pool(&listed.pool);
        let name = Arc::clone(&listed.name);
        let Some(&key) = self.fleet.index.get(&name) else {
            let key = self.fleet.hosts.insert(Host {
                listed,
                misses: 0,
                pool,
                operation: None,
                number: 0,
                ending_runner: None,
                in_doubt: false,
                ordered_at: Time::MIN,
                carried_out: false,
                retry_at: now,
                idle_since: None,
                closed_since: None,
            });
            self.fleet.index.insert(name, key);
            return;
        };
        let known = &mut self.fleet.hosts[key];
        // A list that was requested before the order took effect may still have the former state.
        let fresh = asked > known.ordered_at + LIST_DELAY_LIMIT || listed.state != State::Up;
        // If the host is away, the unanswered order was carried out.
        let away = match known.operation {
            Some(Operation::Maintain(_)) => listed.state == State::Maintenance,
            Some(Operation::Move(_)) => listed.state == State::Moving,
            None => false,
        };
        let carried_out = known.in_doubt && !known.carried_out && away;
        let finished = known.carried_out && fresh && listed.state == State::Up;
        known.pool = pool;
        known.listed = listed;
        known.misses = 0;
        if finished {
            known.operation = None;
            known.carried_out = false;
            known.closed_since = None;
        }
        if carried_out {
            self.mark_carried_out(key, now);
        }
    }

    /// Advances maintenance waves and moves hosts between pools.
    pub(super) fn manage_hosts(&mut self, now: Time) {
        if now < self.fleet.managed_at + MANAGE_INTERVAL {
            return;
        }
        self.fleet.managed_at = now;
        self.fleet.count_outstanding();
        if self.fleet.list_requested.is_none() && now >= self.fleet.next_list {
            self.fleet.list_requested = Some(now);
            self.orders.push(Order::ListHosts);
        }
        self.update_idle(now);
        self.announce_waves(now);
        let numbers: Vec<u64> = self.fleet.waves.keys().copied().collect();
        for number in numbers {
            self.advance_wave(number, now);
        }
        self.repeat_host_orders(now);
        self.balance(now);
    }

    /// Returns the runner of a host, if it has one.
    pub(super) fn runner_of(&self, host: &Host) -> Option<runner::Key> {
        let id = host.listed.runner.as_ref()?;
        self.runner_index.get(id).copied()
    }

    /// Updates since when hosts have had no runs, and opens hosts again that did not become empty in time.
    fn update_idle(&mut self, now: Time) {
        let keys: Vec<host::Key> = self.fleet.hosts.keys().collect();
        for key in keys {
            let host = &self.fleet.hosts[key];
            let runner = self.runner_of(host);
            let idle = runner.is_none_or(|runner| self.runners[runner].runs.is_empty());
            let host = &mut self.fleet.hosts[key];
            host.idle_since = match idle {
                true => Some(host.idle_since.unwrap_or(now)),
                false => None,
            };
            if let Some(closed) = host.closed_since
                && host.operation.is_none()
                && now > closed + CLOSE_LIMIT
            {
                host.closed_since = None;
                host.retry_at = now + RETRY_PAUSE;
                self.set_closing(key, false);
            }
        }
    }

    /// Opens or closes the runner of a host for new tasks.
    pub(super) fn set_closing(&mut self, key: host::Key, closing: bool) {
        let runner = self.runner_of(&self.fleet.hosts[key]);
        if let Some(runner) = runner.and_then(|runner| self.runners.get_mut(runner)) {
            runner.closing = closing;
        }
    }

    /// Returns whether a host may be ordered to move or to begin its maintenance: it is up, has no runs and no order.
    pub(super) fn is_orderable(&self, key: host::Key, now: Time) -> bool {
        let host = &self.fleet.hosts[key];
        let empty = match self.runner_of(host) {
            Some(runner) => {
                let runner = &self.runners[runner];
                runner.runs.is_empty() && runner.leaves_at.is_none()
            }
            // A runner that is not in the service list may still run tasks, unless the hosts of the pool are switched
            // off.
            None => self.pools[host.pool].standby || host.listed.runner.is_none(),
        };
        let before = self.fleet.former_orders.get(&host.listed.name);
        let blocked = before.is_some_and(|at| now < *at + self.block_duration());
        host.listed.state == State::Up
            && host.operation.is_none()
            && now >= host.retry_at
            && empty
            && !blocked
    }

    /// Returns the time after an order by a former leader during which a host gets no order.
    pub(super) fn block_duration(&self) -> Duration {
        self.rules.host_lease + CLOCK_MARGIN
    }

    /// Tells whether another host may get an order, as far as the rate of the host service goes.
    pub(super) fn admits_order(&self, urgency: Urgency) -> bool {
        self.fleet.rate.admits(urgency, self.fleet.outstanding)
    }

    /// Closes a host to new tasks for an operation, which is ordered once the log has the order.
    pub(super) fn close_host(&mut self, key: host::Key, operation: Operation, now: Time) {
        self.fleet.outstanding += 1;
        self.set_closing(key, true);
        let runner = self.runner_of(&self.fleet.hosts[key]);
        let host = &mut self.fleet.hosts[key];
        host.operation = Some(operation);
        host.number += 1;
        host.ending_runner = runner;
        host.in_doubt = false;
        host.carried_out = false;
        host.closed_since = Some(now);
        self.store_order(key, now);
    }

    /// Schedules the record of an order to a host; the order is given once the log has it.
    fn store_order(&mut self, key: host::Key, now: Time) {
        self.fleet.hosts[key].ordered_at = now;
        self.fleet.unstored_orders.push(key);
        self.effects.push(Effect::Order(key));
    }

    /// Returns what the order to a host is worth.
    pub(super) fn urgency(&self, key: host::Key, now: Time) -> Urgency {
        match self.fleet.hosts[key].operation {
            Some(Operation::Move(pool)) if self.pools[pool].standby => Urgency::Saving,
            Some(Operation::Move(pool)) if !self.pools[pool].ready.is_empty() => Urgency::Now,
            Some(Operation::Maintain(wave)) => match self.fleet.waves.get(&wave) {
                Some(wave) if wave.is_urgent(now) => Urgency::Now,
                _ => Urgency::Soon,
            },
            _ => Urgency::Soon,
        }
    }

    /// Gives the order for the operation on a host, or stores it again if its record is too old. Returns false if the host
    /// service takes no more orders now.
    pub(super) fn order_host(&mut self, key: host::Key, now: Time) -> bool {
        let host = &self.fleet.hosts[key];
        let until = host.ordered_at + SEND_LIMIT;
        if host.operation.is_none() {
            return true;
        }
        if now > until {
            self.store_order(key, now);
            return true;
        }
        if !self.fleet.rate.take(now) {
            return false;
        }
        let host = &self.fleet.hosts[key];
        let name = Arc::clone(&host.listed.name);
        let fence = self.epoch;
        let number = host.number;
        let (kind, action) = match host.operation {
            Some(Operation::Maintain(wave)) => (Kind::HostMaintained, Action::Maintain(wave)),
            Some(Operation::Move(pool)) => (Kind::HostMoved, Action::Move(self.pool_name(pool))),
            None => return true,
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
        true
    }

    fn pool_name(&self, pool: key::Pool) -> Arc<str> {
        Arc::clone(&self.pools[pool].name)
    }

    fn repeat_host_orders(&mut self, now: Time) {
        let waiting = &self.orderable;
        let due = |key: host::Key, host: &Host| {
            host.operation.is_some()
                && !host.carried_out
                && now >= host.ordered_at + REPEAT_INTERVAL
                && !waiting.contains(&key)
        };
        let keys = self
            .fleet
            .hosts
            .iter()
            .filter(|(key, host)| due(*key, host));
        let keys: Vec<host::Key> = keys.map(|(key, _)| key).collect();
        for key in keys {
            self.store_order(key, now);
        }
    }

    /// Handles the result of an order to a host.
    pub(super) fn handle_host_result(
        &mut self,
        key: host::Key,
        number: u32,
        outcome: Outcome,
        now: Time,
    ) {
        if outcome == Outcome::Fenced {
            self.superseded = true;
            return;
        }
        let Some(host) = self.fleet.hosts.get_mut(key) else {
            return;
        };
        // The answer to an earlier order says nothing about the present one, nor about the runner that started after
        // it.
        if host.number != number || host.operation.is_none() || host.carried_out {
            return;
        }
        match outcome {
            Outcome::Done => self.mark_carried_out(key, now),
            Outcome::Unknown => host.in_doubt = true,
            // The host may be away because of an earlier attempt. The host list shows that, or the next attempt is
            // answered as done.
            Outcome::Busy | Outcome::Refused | Outcome::Unsent
                if host.in_doubt && now < host.closed_since.unwrap_or(now) + DOUBT_LIMIT => {}
            _ => {
                host.operation = None;
                host.closed_since = None;
                host.retry_at = now + RETRY_PAUSE;
                let name = Arc::clone(&host.listed.name);
                self.set_closing(key, false);
                let note = Note::new(Kind::HostFailed, outcome_name(outcome), now);
                self.note(note.with_place(&name));
            }
        }
    }

    /// Records that an order to a host was carried out, which ends the runner that it had.
    fn mark_carried_out(&mut self, key: host::Key, now: Time) {
        let name = Arc::clone(&self.fleet.hosts[key].listed.name);
        self.resolve_suspicions_on(&name, Verdict::Cleared, "host-ordered", now);
        let host = &mut self.fleet.hosts[key];
        host.carried_out = true;
        let ending = host.ending_runner.take();
        if let Some(Operation::Maintain(wave)) = host.operation
            && let Some(wave) = self.fleet.waves.get_mut(&wave)
            && wave.begun.insert(Arc::clone(&name))
        {
            self.fleet.unstored_waves.push((wave.number, Some(name)));
        }
        if let Some(runner) = ending {
            self.end_incarnation(runner, Loss::HostOrdered, now);
        }
    }
}

/// Returns the name of an outcome for logs.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Busy => "busy",
        Outcome::Rejected => "rejected",
        Outcome::Fenced => "fenced",
        Outcome::Refused => "refused",
        Outcome::Unsent => "unsent",
        Outcome::Unknown => "unknown",
    }
}
