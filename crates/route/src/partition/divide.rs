//! Target parts of one entry.

use super::{
    claim,
    hash::mix, //
};
use sassafrascrank_base::prelude::*;

/// Time after the last report at which an entry loses its parts.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// What one entry last reported about a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Identity of the process that all entries know, unique among them.
    pub id: u64,
    /// Where the entry runs.
    pub availability_zone: availability_zone::Key,
    /// Its demand in thousandths of a slot, see [`super::Demand`].
    pub demand: u64,
    /// The part of its demand that may use other availability zones, in thousandths of a slot.
    pub spill: u64,
    /// When its last report came, or when its membership became known.
    pub heard: Time,
}

/// One upstream of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Identity of the upstream that all entries know, unique among them.
    pub id: u64,
    /// Where the upstream runs.
    pub availability_zone: availability_zone::Key,
    /// Requests that it runs at once, from all entries together.
    pub slots: u32,
}

/// Returns the target part of the entry `me` in each upstream, in the order of `upstreams`.
///
/// Entries with the same view compute parts that add up to the slots of each upstream whose zone has a live entry.
/// The order of the arguments doesn't matter. Entries silent for 3 s count as dead, apart from `me`. Draining
/// upstreams should be left out, or an idle entry may hold its only slot there.
pub fn target_quotas(now: Time, me: u64, entries: &[Entry], upstreams: &[Upstream]) -> Vec<u32> {
    let alive = |entry: &&Entry| entry.id == me || now.since(entry.heard) < SILENCE_LIMIT;
    let mut live: Vec<Entry> = entries.iter().filter(alive).copied().collect();
    live.sort_unstable_by_key(|entry| entry.id);
    let mut parts = vec![0; upstreams.len()];
    let Some(column) = live.iter().position(|entry| entry.id == me) else {
        return parts;
    };
    let balances = claim::balances(&live, upstreams);
    for balance in &balances {
        let totals = claim::totals(balance, &live, &balances);
        let rows: Vec<usize> = (0..upstreams.len())
            .filter(|&row| upstreams[row].availability_zone == balance.zone)
            .collect();
        spread(&rows, upstreams, &live, &totals, |row, place, slots| {
            if place == column {
                parts[row] += slots;
            }
        });
    }
    parts
}

/// Returns the parts that a new entry uses at once, before it has heard of others: one slot in all.
///
/// The others hear of the entry with its first report, so at most this slot is used twice until then.
pub fn initial_quotas(me: u64, home: availability_zone::Key, upstreams: &[Upstream]) -> Vec<u32> {
    let own = |row: &usize| {
        let upstream = &upstreams[*row];
        upstream.availability_zone == home && upstream.slots >= claim::MINIMUM
    };
    let rows = (0..upstreams.len()).filter(own);
    let first = rows.max_by_key(|&row| mix(me, upstreams[row].id));
    let part = |row: usize| {
        if Some(row) == first {
            claim::MINIMUM
        } else {
            0
        }
    };
    (0..upstreams.len()).map(part).collect()
}

/// Spreads the whole slots of each entry over the upstreams of a zone.
///
/// Each pair of an entry and an upstream gets its proportional part rounded down. What is left goes one slot at a
/// time to the pairs in the order of their rendezvous hash, so that a small change of the totals moves few slots and
/// no entry is favoured everywhere.
fn spread(
    rows: &[usize],
    upstreams: &[Upstream],
    entries: &[Entry],
    totals: &[u32],
    mut give: impl FnMut(usize, usize, u32),
) {
    let all: u64 = totals.iter().map(|total| u64::from(*total)).sum();
    let mut due = totals.to_vec();
    let mut free: Vec<u32> = rows.iter().map(|&row| upstreams[row].slots).collect();
    let mut pairs = Vec::with_capacity(rows.len() * entries.len());
    for (index, &row) in rows.iter().enumerate() {
        for (place, entry) in entries.iter().enumerate() {
            let slots = floor(upstreams[row].slots, totals[place], all);
            due[place] -= slots;
            free[index] -= slots;
            give(row, place, slots);
            pairs.push((mix(entry.id, upstreams[row].id), index, place));
        }
    }
    pairs.sort_unstable();
    // A pass gives each pair at most one slot; what is left after it needs a further pass.
    while due.iter().any(|due| *due > 0) && free.iter().any(|free| *free > 0) {
        for &(_, index, place) in &pairs {
            if due[place] > 0 && free[index] > 0 {
                due[place] -= 1;
                free[index] -= 1;
                give(rows[index], place, 1);
            }
        }
    }
}

fn floor(slots: u32, total: u32, all: u64) -> u32 {
    if all == 0 {
        return 0;
    }
    let part = u64::from(slots) * u64::from(total) / all;
    u32::try_from(part).unwrap_or(u32::MAX)
}
