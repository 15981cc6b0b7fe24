//! The next steps of the wave in every pool.

use super::{
    Proposal,
    Rules,
    draft::Draft,
    stop, //
};
use crate::{
    budget::{
        self,
        Budget, //
    },
    inventory::{
        Host,
        Inventory,
        Pool,
        Work, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Absence,
    Cause,
    Maintenance,
    Progress,
    Step, //
};
use std::collections::BTreeMap;

/// Returns the changes that are due now, at most one for each pool.
///
/// Without fresh reports of the platform it returns none, because failures would be missing from the budgets.
pub fn plan(inventory: &Inventory, rules: &Rules, now: Time) -> Vec<Proposal> {
    if now.since(inventory.observed()) > rules.freshness {
        return Vec::new();
    }
    let running = is_running(inventory);
    let halt = running.then(|| stop::judge(inventory, now)).flatten();
    let planner = Planner {
        inventory,
        rules,
        running: running && halt.is_none(),
        stopped: halt.is_some() || is_stopped(inventory),
    };
    let pools = inventory.pools();
    pools
        .filter_map(|(key, _)| planner.plan_pool(key, halt, now))
        .collect()
}

/// Returns whether the wave starts drains: an operator's pause or a stop that any pool records holds for all.
pub fn is_running(inventory: &Inventory) -> bool {
    let mut pools = inventory.pools();
    pools.all(|(_, pool)| pool.reservation.wave.progress == Progress::Running)
}

fn is_stopped(inventory: &Inventory) -> bool {
    let mut pools = inventory.pools();
    pools.any(|(_, pool)| matches!(pool.reservation.wave.progress, Progress::Stopped(_)))
}

struct Planner<'a> {
    inventory: &'a Inventory,
    rules: &'a Rules,
    running: bool,
    stopped: bool,
}

impl Planner<'_> {
    fn plan_pool(
        &self,
        key: pool::Key,
        halt: Option<(pool::Key, Cause)>,
        now: Time,
    ) -> Option<Proposal> {
        let pool = self.inventory.pool(key)?;
        let mut draft = Draft::new(pool, now);
        self.note_failures(key, &mut draft);
        if let Some((_, cause)) = halt.filter(|&(stopped, _)| stopped == key) {
            draft.stop(cause);
        }
        let number = self.rules.wave(now);
        if self.running && draft.value.wave.number < number {
            draft.begin(number);
        }
        self.advance_returns(pool, &mut draft);
        self.advance_drains(key, pool, &mut draft);
        if self.running {
            self.start_drains(key, &mut draft);
        }
        draft.finish(self.inventory, pool)
    }

    /// Records failures of hosts in service, so that decisions made without them have a stale basis.
    fn note_failures(&self, key: pool::Key, draft: &mut Draft) {
        for (_, host) in self.inventory.hosts(key) {
            if draft.value.hosts.contains_key(&host.name) {
                continue;
            }
            match (host.failed_since(), draft.value.failed.get(&host.name)) {
                (Some(since), None) => draft.fail(&host.name, since),
                (None, Some(&recorded)) if self.is_settled(host, recorded) => {
                    draft.recover(&host.name);
                }
                _ => {}
            }
        }
        let moved = |name: &&Name| {
            let host = self.inventory.find_host(name);
            host.and_then(|host| self.inventory.host(host)?.pool) != Some(key)
        };
        let failed = draft.value.failed.keys();
        let moved: Vec<Name> = failed.filter(moved).cloned().collect();
        for name in moved {
            draft.recover(&name);
        }
    }

    fn is_settled(&self, host: &Host, recorded: Time) -> bool {
        let observed = self.inventory.observed();
        let since = host.healthy_since();
        since.is_some_and(|since| since > recorded && observed.since(since) >= self.rules.settle)
    }

    fn advance_returns(&self, pool: &Pool, draft: &mut Draft) {
        for (name, absence) in absences(draft) {
            let Some(host) = self.find(&name) else {
                continue;
            };
            if draft.value.moves.contains_key(&name) {
                continue;
            }
            let age = pool.age(&name, absence, draft.now);
            match absence.step {
                Step::Draining => {}
                Step::Out if self.is_booted(host, absence) => draft.step(&name, Step::Returning),
                Step::Returning if self.is_proved(host, absence) => {
                    draft.end(&name, Maintenance::Done);
                }
                Step::Out | Step::Returning if age >= self.rules.return_limit => {
                    draft.end(&name, Maintenance::Broken);
                    // Its reboot may still be under way, so it counts as failed until it has come up after this.
                    draft.fail(&name, draft.now);
                }
                Step::Out | Step::Returning => {}
            }
        }
    }

    fn is_booted(&self, host: &Host, absence: Absence) -> bool {
        host.observation
            .is_some_and(|observation| observation.booted > absence.since)
    }

    fn is_proved(&self, host: &Host, absence: Absence) -> bool {
        let observed = self.inventory.observed();
        let since = host.healthy_since();
        since.is_some_and(|since| observed.since(since.max(absence.since)) >= self.rules.proof)
    }

    /// Withdraws drains that a stop or failures forbid, and lets drained hosts go out.
    fn advance_drains(&self, key: pool::Key, pool: &Pool, draft: &mut Draft) {
        let mut draining = absences(draft);
        draining.retain(|(_, absence)| absence.step == Step::Draining);
        // The latest drains have the least to lose.
        draining.sort_by_key(|(_, absence)| core::cmp::Reverse(absence.since));
        for (name, absence) in draining {
            let Some(host) = self.find(&name) else {
                continue;
            };
            let budget = Budget::new(self.inventory, key, &draft.value);
            let serves = host.healthy_since().is_some();
            let stopped = self.stopped && !draft.value.moves.contains_key(&name);
            if stopped || (serves && !budget.is_met()) {
                draft.withdraw(&name);
                continue;
            }
            let age = pool.age(&name, absence, draft.now);
            // An older report may say that the host is idle because of an earlier drain.
            let reported = pool
                .read_at(&name, absence)
                .is_some_and(|at| self.inventory.observed() > at);
            if reported && self.is_drained(host, age) && budget.is_met() {
                draft.step(&name, Step::Out);
            }
        }
    }

    fn is_drained(&self, host: &Host, age: Duration) -> bool {
        match host.observation.map(|observation| observation.work) {
            Some(Work::Idle) => true,
            Some(Work::Busy { movable, .. }) => movable && age >= self.rules.drain_limit,
            None => false,
        }
    }

    /// Starts as many drains as the budget allows, the longest expected one first.
    fn start_drains(&self, key: pool::Key, draft: &mut Draft) {
        if Budget::new(self.inventory, key, &draft.value).room() == 0 {
            return;
        }
        let hosts = self.inventory.hosts(key).map(|(_, host)| host);
        let mut pending: Vec<&Host> = hosts.filter(|host| is_pending(host, draft)).collect();
        let worked = budget::worked_zone(self.inventory, key, &draft.value);
        let Some(zone) = worked.or_else(|| self.choose_zone(&pending)) else {
            return;
        };
        pending.retain(|host| host.location.is_some_and(|(theirs, _)| theirs == zone));
        pending.sort_by_key(|host| {
            let rack = host
                .location
                .and_then(|(_, rack)| self.inventory.rack(rack));
            (
                core::cmp::Reverse(self.estimate_drain(host)),
                rack,
                &host.name,
            )
        });
        for host in pending {
            if budget::check(self.inventory, key, &draft.value, host).is_err() {
                return;
            }
            draft.step(&host.name, Step::Draining);
        }
    }

    fn estimate_drain(&self, host: &Host) -> Duration {
        let work = host.observation.map(|observation| observation.work);
        work.map_or(Duration::ZERO, Work::remaining)
            .min(self.rules.drain_limit)
    }

    /// Returns the zone with the most pending hosts, the first by name among equals.
    fn choose_zone(&self, pending: &[&Host]) -> Option<availability_zone::Key> {
        let mut counts: BTreeMap<&Name, (usize, availability_zone::Key)> = BTreeMap::new();
        for (zone, _) in pending.iter().filter_map(|host| host.location) {
            if let Some(name) = self.inventory.zone(zone) {
                counts.entry(name).or_insert((0, zone)).0 += 1;
            }
        }
        let most = counts.values().rev().max_by_key(|&&(count, _)| count);
        most.map(|&(_, zone)| zone)
    }

    fn find(&self, name: &Name) -> Option<&Host> {
        let key = self.inventory.find_host(name)?;
        self.inventory.host(key)
    }
}

fn absences(draft: &Draft) -> Vec<(Name, Absence)> {
    let hosts = draft.value.hosts.iter();
    hosts
        .map(|(name, &absence)| (name.clone(), absence))
        .collect()
}

fn is_pending(host: &Host, draft: &Draft) -> bool {
    let name = &host.name;
    let value = &draft.value;
    let idle = !value.hosts.contains_key(name) && !value.finished.contains_key(name);
    idle && !budget::is_failed(host, value)
}
