//! Planner of the next steps of the wave in every pool.

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

/// Returns the proposals that are due now, at most one for each pool.
///
/// If the platform's reports are too old, nothing is proposed, because the budgets would miss recent failures.
pub fn plan(inventory: &Inventory, rules: &Rules, now: Time) -> Vec<Proposal> {
    if now.since(inventory.observed()) > rules.report_age_limit {
        return Vec::new();
    }
    let running = is_running(inventory);
    let new_stop = running.then(|| stop::find_stop(inventory, now)).flatten();
    let planner = Planner {
        inventory,
        rules,
        running: running && new_stop.is_none(),
        stopped: new_stop.is_some() || is_stopped(inventory),
    };
    let pools = inventory.pools();
    pools
        .filter_map(|(key, _)| planner.plan_pool(key, new_stop, now))
        .collect()
}

/// Returns whether the wave starts drains. A pause or stop recorded in any pool holds for all pools.
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
    /// Whether new drains may start.
    running: bool,
    /// Whether the wave has stopped automatically, so that its drains are withdrawn.
    stopped: bool,
}

impl Planner<'_> {
    fn plan_pool(
        &self,
        key: pool::Key,
        new_stop: Option<(pool::Key, Cause)>,
        now: Time,
    ) -> Option<Proposal> {
        let pool = self.inventory.pool(key)?;
        let mut draft = Draft::new(pool, now);
        self.record_failures(key, &mut draft);
        if let Some((_, cause)) = new_stop.filter(|&(stopped, _)| stopped == key) {
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
        draft.into_proposal(self.inventory, pool)
    }

    /// Records failures and recoveries of hosts that are not reserved.
    ///
    /// A recorded failure changes the reservation's offset, so decisions made without it have a stale basis.
    fn record_failures(&self, key: pool::Key, draft: &mut Draft) {
        for (_, host) in self.inventory.hosts(key) {
            if draft.value.hosts.contains_key(&host.name) {
                continue;
            }
            match (host.failed_since(), draft.value.failed.get(&host.name)) {
                (Some(since), None) => draft.record_failure(&host.name, since),
                (None, Some(&recorded)) if self.has_recovered(host, recorded) => {
                    draft.record_recovery(&host.name);
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
            draft.record_recovery(&name);
        }
    }

    fn has_recovered(&self, host: &Host, recorded: Time) -> bool {
        let observed = self.inventory.observed();
        let since = host.healthy_since();
        since.is_some_and(|since| {
            since > recorded && observed.since(since) >= self.rules.recovery_delay
        })
    }

    /// Advances hosts that are out of service: starts their probation after the reboot, and finishes them when they
    /// have passed it or have exceeded the time limit.
    fn advance_returns(&self, pool: &Pool, draft: &mut Draft) {
        for (name, absence) in absences(draft) {
            let Some(host) = self.find(&name) else {
                continue;
            };
            if draft.value.moves.contains_key(&name) {
                continue;
            }
            let time_in_step = pool.time_in_step(&name, absence, draft.now);
            match absence.step {
                Step::Draining => {}
                Step::Out if self.is_booted(host, absence) => {
                    draft.set_step(&name, Step::Returning)
                }
                Step::Returning if self.has_passed_probation(host, absence) => {
                    draft.finish_host(&name, Maintenance::Done);
                }
                Step::Out | Step::Returning if time_in_step >= self.rules.return_limit => {
                    draft.finish_host(&name, Maintenance::Broken);
                    // The reboot may still be in progress, so the host counts as failed until it becomes healthy
                    // after this time.
                    draft.record_failure(&name, draft.now);
                }
                Step::Out | Step::Returning => {}
            }
        }
    }

    fn is_booted(&self, host: &Host, absence: Absence) -> bool {
        host.observation
            .is_some_and(|observation| observation.booted > absence.since)
    }

    fn has_passed_probation(&self, host: &Host, absence: Absence) -> bool {
        let observed = self.inventory.observed();
        let since = host.healthy_since();
        since.is_some_and(|since| observed.since(since.max(absence.since)) >= self.rules.probation)
    }

    /// Withdraws drains that a stopped wave or the budget forbids, and marks drained hosts as out of service.
    fn advance_drains(&self, key: pool::Key, pool: &Pool, draft: &mut Draft) {
        let mut draining = absences(draft);
        draining.retain(|(_, absence)| absence.step == Step::Draining);
        // Withdraws the latest drains first, because they have made the least progress.
        draining.sort_by_key(|(_, absence)| core::cmp::Reverse(absence.since));
        for (name, absence) in draining {
            let Some(host) = self.find(&name) else {
                continue;
            };
            let budget = Budget::new(self.inventory, key, &draft.value);
            let in_service = host.healthy_since().is_some();
            let stopped = self.stopped && !draft.value.moves.contains_key(&name);
            if stopped || (in_service && !budget.is_met()) {
                draft.withdraw(&name);
                continue;
            }
            let time_in_step = pool.time_in_step(&name, absence, draft.now);
            // A report from before the drain was read may show the host idle because of an earlier drain.
            let reported = pool
                .first_read_at(&name, absence)
                .is_some_and(|at| self.inventory.observed() > at);
            if reported && self.is_drained(host, time_in_step) && budget.is_met() {
                draft.set_step(&name, Step::Out);
            }
        }
    }

    fn is_drained(&self, host: &Host, time_in_step: Duration) -> bool {
        match host.observation.map(|observation| observation.work) {
            Some(Work::Idle) => true,
            Some(Work::Busy { movable, .. }) => movable && time_in_step >= self.rules.drain_limit,
            None => false,
        }
    }

    /// Starts as many drains as the budget allows, in the order of decreasing expected duration.
    fn start_drains(&self, key: pool::Key, draft: &mut Draft) {
        if Budget::new(self.inventory, key, &draft.value).room() == 0 {
            return;
        }
        let hosts = self.inventory.hosts(key).map(|(_, host)| host);
        let mut pending: Vec<&Host> = hosts.filter(|host| is_pending(host, draft)).collect();
        let reserved = budget::reserved_zone(self.inventory, key, &draft.value);
        let Some(zone) = reserved.or_else(|| self.choose_zone(&pending)) else {
            return;
        };
        pending.retain(|host| {
            host.location
                .is_some_and(|(host_zone, _)| host_zone == zone)
        });
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
            draft.set_step(&host.name, Step::Draining);
        }
    }

    fn estimate_drain(&self, host: &Host) -> Duration {
        let work = host.observation.map(|observation| observation.work);
        work.map_or(Duration::ZERO, Work::remaining)
            .min(self.rules.drain_limit)
    }

    /// Returns the zone with the most pending hosts, and of several such zones the first by name.
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

/// Returns whether the host still has to be maintained in this wave and has not failed.
fn is_pending(host: &Host, draft: &Draft) -> bool {
    let name = &host.name;
    let value = &draft.value;
    let unfinished = !value.hosts.contains_key(name) && !value.finished.contains_key(name);
    unfinished && !budget::is_failed(host, value)
}
