//! The rules by which a wave stops by itself.

use crate::inventory::{
    Host,
    Inventory,
    Pool,
    rack, //
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

/// Fewest failed hosts that stop a wave: a single failure says nothing about the maintenance.
const FAILURE_LIMIT: u64 = 2;
/// The wave stops if equal failure rates would give as many failures among the returned hosts in less than one of
/// this many cases. A wave looks at a few dozen failures, so a false stop comes at most every few dozen waves.
const ODDS: u64 = 1_000;
/// Most failures that the test counts; larger counts are halved together.
const COUNT_LIMIT: u64 = 256;
/// Fixed-point one of probabilities.
const ONE: u64 = 1 << 32;

/// Failures and time in service of the returned hosts and of the others, within one wave.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Returned hosts that failed after their return.
    pub returned_failures: u64,
    /// Seconds in service since their return, summed over the returned hosts.
    pub returned_seconds: u64,
    /// Hosts not yet maintained that failed since the wave began.
    pub other_failures: u64,
    /// Seconds since the wave began, summed over these hosts.
    pub other_seconds: u64,
}

/// Returns whether the returned hosts fail more often than the others.
///
/// If both fail at the same rate, each failure falls on a returned host with the probability `returned_seconds` /
/// (`returned_seconds` + `other_seconds`), so the number of failures among the returned hosts is binomial. The
/// answer is yes if there are at least two, and a number as high comes up in less than one of 1,000 cases. All
/// figures are integers; rounding only makes a stop less likely.
pub fn is_excessive(evidence: &Evidence) -> bool {
    if evidence.returned_failures < FAILURE_LIMIT {
        return false;
    }
    let total = u128::from(evidence.returned_seconds) + u128::from(evidence.other_seconds);
    if total == 0 {
        return false;
    }
    let share = u128::from(evidence.returned_seconds) * u128::from(ONE) / total;
    let share = u64::try_from(share).unwrap_or(ONE);
    let (mut returned, mut others) = (evidence.returned_failures, evidence.other_failures);
    while returned + others > COUNT_LIMIT {
        (returned, others) = (returned / 2, others.div_ceil(2));
    }
    let below = cumulate(share, returned + others, returned);
    ONE.saturating_sub(below) * ODDS < ONE
}

/// Returns the probability of fewer than `limit` hits in `trials` of probability `share` each, rounded down.
fn cumulate(share: u64, trials: u64, limit: u64) -> u64 {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let mut odds = vec![0; limit];
    if let Some(first) = odds.first_mut() {
        *first = ONE;
    }
    for _ in 0..trials {
        let mut carried = 0;
        for odd in &mut odds {
            let hit = scale(*odd, share);
            *odd = scale(*odd, ONE - share) + carried;
            carried = hit;
        }
    }
    odds.iter().sum()
}

/// Multiplies fixed-point numbers, neither of them above one.
fn scale(left: u64, right: u64) -> u64 {
    let product = u128::from(left) * u128::from(right) / u128::from(ONE);
    u64::try_from(product).unwrap_or(ONE)
}

/// Counts failures and time in service since the wave began or was last resumed.
pub fn evidence(inventory: &Inventory, now: Time) -> Evidence {
    let start = find_start(inventory);
    let mut evidence = Evidence::default();
    for (key, pool) in inventory.pools() {
        for (_, host) in inventory.hosts(key) {
            match find_return(pool, host) {
                Place::Returned(at, broken) => {
                    let from = at.max(start);
                    let failed = (broken && at > start) || failed_after(host, from);
                    evidence.returned_failures += u64::from(failed);
                    evidence.returned_seconds += now.since(from).as_secs();
                }
                Place::Waiting => {
                    evidence.other_failures += u64::from(failed_after(host, start));
                    evidence.other_seconds += now.since(start).as_secs();
                }
                Place::Away => {}
            }
        }
    }
    evidence
}

/// Returns why the wave must stop, and the pool to record it in.
pub(super) fn judge(inventory: &Inventory, now: Time) -> Option<(pool::Key, Cause)> {
    let start = find_start(inventory);
    let is_hit = |(key, pool): (pool::Key, &Pool)| {
        let mut finishes = pool.reservation.finished.values();
        finishes.any(|finish| finish.result == Maintenance::Broken)
            || inventory
                .hosts(key)
                .any(|(_, host)| failed_after(host, start))
    };
    if !inventory.pools().any(is_hit) {
        return None;
    }
    judge_racks(inventory).or_else(|| judge_failures(inventory, now))
}

/// Returns a pool to record the stop in if the returned hosts fail too often.
fn judge_failures(inventory: &Inventory, now: Time) -> Option<(pool::Key, Cause)> {
    if !is_excessive(&evidence(inventory, now)) {
        return None;
    }
    let start = find_start(inventory);
    let mut pools = inventory.pools();
    let found = pools.find(|&(key, pool)| {
        inventory
            .hosts(key)
            .any(|(_, host)| match find_return(pool, host) {
                Place::Returned(at, broken) => {
                    (broken && at > start) || failed_after(host, at.max(start))
                }
                _ => false,
            })
    });
    found.map(|(key, _)| (key, Cause::Failures))
}

/// Returns a pool to record the stop in if a rack failed since the wave began or was last resumed.
///
/// A rack failed if at least two of its hosts were in service or draining, and all of these fail. Hosts that failed
/// before don't count, since they say nothing about the rack.
fn judge_racks(inventory: &Inventory) -> Option<(pool::Key, Cause)> {
    let start = find_start(inventory);
    let mut racks: BTreeMap<rack::Key, (usize, usize, pool::Key)> = BTreeMap::new();
    for (key, pool) in inventory.pools() {
        for (_, host) in inventory.hosts(key) {
            let Some((_, rack)) = host.location else {
                continue;
            };
            let absence = pool.reservation.hosts.get(&host.name);
            if absence.is_some_and(|absence| absence.step != Step::Draining) {
                continue;
            }
            let failed = host.failed_since();
            if failed.is_some_and(|since| since < start) {
                continue;
            }
            let count = racks.entry(rack).or_insert((0, 0, key));
            count.0 += 1;
            count.1 += usize::from(failed.is_some());
        }
    }
    let mut counts = racks.into_values();
    let lost = counts.find(|&(hosts, failed, _)| hosts >= 2 && failed == hosts);
    lost.map(|(_, _, pool)| (pool, Cause::Rack))
}

enum Place {
    /// Back in service or proving healthy since a time; the flag says that it did not prove healthy.
    Returned(Time, bool),
    /// Not yet maintained in this wave.
    Waiting,
    /// Out of service or skipped.
    Away,
}

fn find_return(pool: &Pool, host: &Host) -> Place {
    let reservation = &pool.reservation;
    match reservation.hosts.get(&host.name) {
        Some(&Absence {
            step: Step::Returning,
            since,
            ..
        }) => return Place::Returned(since, false),
        Some(_) => return Place::Away,
        None => {}
    }
    match reservation.finished.get(&host.name) {
        Some(finish) if finish.result == Maintenance::Skipped => Place::Away,
        Some(finish) => Place::Returned(finish.at, finish.result == Maintenance::Broken),
        None => Place::Waiting,
    }
}

fn failed_after(host: &Host, start: Time) -> bool {
    host.failed_at.is_some_and(|at| at >= start)
}

/// Returns when the newest wave began, or when it was last resumed if that was later; the end of time before the
/// first wave, so that nothing counts against it.
fn find_start(inventory: &Inventory) -> Time {
    let waves = inventory.pools().map(|(_, pool)| pool.reservation.wave);
    let number = waves.clone().map(|wave| wave.number).max();
    if number.is_none_or(|number| number == 0) {
        return Time::MAX;
    }
    let newest = waves.clone().filter(|wave| Some(wave.number) == number);
    let began = newest.map(|wave| wave.started).min().unwrap_or(Time::MAX);
    // A pause or stop keeps the evidence; only a resumption discards it.
    let resumed =
        waves.filter(|wave| wave.progress == Progress::Running && wave.since > wave.started);
    let resumed = resumed.map(|wave| wave.since).max();
    resumed.map_or(began, |since| since.max(began))
}
