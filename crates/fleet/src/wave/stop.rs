//! Rules that stop a wave automatically.

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

/// Least number of failed hosts that stops a wave. A single failure is no evidence against the maintenance.
const FAILURE_LIMIT: u64 = 2;
/// Inverse of the significance level: the wave stops if, at equal failure rates, that many failures of returned hosts
/// would occur in less than one of this many cases. The test is repeated for a few dozen failures in a wave, so a false
/// stop occurs at most once in a few dozen waves.
const INVERSE_SIGNIFICANCE: u64 = 1_000;
/// Most failures that the test counts, which bounds its run time. If there are more, both counts are halved.
const COUNT_LIMIT: u64 = 256;
/// The probability 1 as a fixed-point number.
const FIXED_ONE: u64 = 1 << 32;

/// Failures and time in service of the returned hosts and of the hosts not yet maintained, within one wave.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Returned hosts that failed after their return to service.
    pub returned_failures: u64,
    /// Seconds in service since their return, summed over the returned hosts.
    pub returned_seconds: u64,
    /// Hosts not yet maintained that failed since the wave began or was last resumed.
    pub other_failures: u64,
    /// Seconds since the wave began or was last resumed, summed over the hosts not yet maintained.
    pub other_seconds: u64,
}

/// Returns whether the returned hosts fail significantly more often than the hosts not yet maintained.
///
/// This is a one-sided binomial test. If both groups fail at the same rate, each failure hits a returned host with the
/// probability `returned_seconds` / (`returned_seconds` + `other_seconds`). The result is true if at least two returned
/// hosts failed and as many failures occur by chance in less than one of 1,000 cases. The arithmetic uses integers;
/// rounding only makes a stop less likely.
pub fn is_excessive(evidence: &Evidence) -> bool {
    if evidence.returned_failures < FAILURE_LIMIT {
        return false;
    }
    let total = u128::from(evidence.returned_seconds) + u128::from(evidence.other_seconds);
    if total == 0 {
        return false;
    }
    let share = u128::from(evidence.returned_seconds) * u128::from(FIXED_ONE) / total;
    let share = u64::try_from(share).unwrap_or(FIXED_ONE);
    let (mut returned, mut others) = (evidence.returned_failures, evidence.other_failures);
    while returned + others > COUNT_LIMIT {
        (returned, others) = (returned / 2, others.div_ceil(2));
    }
    let below = lower_tail(share, returned + others, returned);
    FIXED_ONE.saturating_sub(below) * INVERSE_SIGNIFICANCE < FIXED_ONE
}

/// Returns the probability of fewer than `limit` successes in `trials` trials that each succeed with the probability
/// `share`, rounded down.
fn lower_tail(share: u64, trials: u64, limit: u64) -> u64 {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let mut probabilities = vec![0; limit];
    if let Some(first) = probabilities.first_mut() {
        *first = FIXED_ONE;
    }
    for _ in 0..trials {
        let mut carry = 0;
        for probability in &mut probabilities {
            let success = multiply(*probability, share);
            *probability = multiply(*probability, FIXED_ONE - share) + carry;
            carry = success;
        }
    }
    probabilities.iter().sum()
}

/// Multiplies two fixed-point numbers that are at most 1.
fn multiply(left: u64, right: u64) -> u64 {
    let product = u128::from(left) * u128::from(right) / u128::from(FIXED_ONE);
    u64::try_from(product).unwrap_or(FIXED_ONE)
}

/// Sums up failures and time in service since the wave began or was last resumed.
pub fn evidence(inventory: &Inventory, now: Time) -> Evidence {
    let start = find_evidence_start(inventory);
    let mut evidence = Evidence::default();
    for (key, pool) in inventory.pools() {
        for (_, host) in inventory.hosts(key) {
            match classify(pool, host) {
                Group::Returned(at, broken) => {
                    let from = at.max(start);
                    let failed = (broken && at > start) || failed_after(host, from);
                    evidence.returned_failures += u64::from(failed);
                    evidence.returned_seconds += now.since(from).as_secs();
                }
                Group::Pending => {
                    evidence.other_failures += u64::from(failed_after(host, start));
                    evidence.other_seconds += now.since(start).as_secs();
                }
                Group::Excluded => {}
            }
        }
    }
    evidence
}

/// Returns the pool whose reservation must record a stop and the cause, or `None` if the wave may go on.
pub(super) fn find_stop(inventory: &Inventory, now: Time) -> Option<(pool::Key, Cause)> {
    let start = find_evidence_start(inventory);
    let has_failure = |(key, pool): (pool::Key, &Pool)| {
        let mut finishes = pool.reservation.finished.values();
        finishes.any(|finish| finish.result == Maintenance::Broken)
            || inventory
                .hosts(key)
                .any(|(_, host)| failed_after(host, start))
    };
    if !inventory.pools().any(has_failure) {
        return None;
    }
    find_rack_stop(inventory).or_else(|| find_failure_stop(inventory, now))
}

/// Returns a pool with a failed returned host if the returned hosts fail too often.
fn find_failure_stop(inventory: &Inventory, now: Time) -> Option<(pool::Key, Cause)> {
    if !is_excessive(&evidence(inventory, now)) {
        return None;
    }
    let start = find_evidence_start(inventory);
    let mut pools = inventory.pools();
    let found = pools.find(|&(key, pool)| {
        inventory
            .hosts(key)
            .any(|(_, host)| match classify(pool, host) {
                Group::Returned(at, broken) => {
                    (broken && at > start) || failed_after(host, at.max(start))
                }
                _ => false,
            })
    });
    found.map(|(key, _)| (key, Cause::Failures))
}

/// Returns a pool with hosts in a rack that failed since the wave began or was last resumed.
///
/// A rack has failed if at least two of its hosts were in service or draining and all of these have failed. Hosts that
/// failed earlier are not counted, because they are no evidence about the rack.
fn find_rack_stop(inventory: &Inventory) -> Option<(pool::Key, Cause)> {
    let start = find_evidence_start(inventory);
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

/// Group of the failure comparison that a host belongs to.
enum Group {
    /// Back in service or on probation since this time; the flag tells whether it failed its probation.
    Returned(Time, bool),
    /// Not yet maintained in this wave.
    Pending,
    /// Out of service or skipped.
    Excluded,
}

/// Returns the group of a host in the newest wave.
fn classify(pool: &Pool, host: &Host) -> Group {
    let reservation = &pool.reservation;
    match reservation.hosts.get(&host.name) {
        Some(&Absence {
            step: Step::Returning,
            since,
            ..
        }) => return Group::Returned(since, false),
        Some(_) => return Group::Excluded,
        None => {}
    }
    match reservation.finished.get(&host.name) {
        Some(finish) if finish.result == Maintenance::Skipped => Group::Excluded,
        Some(finish) => Group::Returned(finish.at, finish.result == Maintenance::Broken),
        None => Group::Pending,
    }
}

fn failed_after(host: &Host, start: Time) -> bool {
    host.failed_at.is_some_and(|at| at >= start)
}

/// Returns when the newest wave began, or when it was last resumed if that was later.
///
/// Before the first wave it returns [`Time::MAX`], so that no failure is counted.
fn find_evidence_start(inventory: &Inventory) -> Time {
    let waves = inventory.pools().map(|(_, pool)| pool.reservation.wave);
    let number = waves.clone().map(|wave| wave.number).max();
    if number.is_none_or(|number| number == 0) {
        return Time::MAX;
    }
    let newest = waves.clone().filter(|wave| Some(wave.number) == number);
    let began = newest.map(|wave| wave.started).min().unwrap_or(Time::MAX);
    // Only a resumption discards earlier evidence; a pause or stop keeps it.
    let resumed =
        waves.filter(|wave| wave.progress == Progress::Running && wave.since > wave.started);
    let resumed = resumed.map(|wave| wave.since).max();
    resumed.map_or(began, |since| since.max(began))
}
