//! Target and initial quotas of one entry.

use super::{
    hash::mix,
    totals, //
};
use sassafrascrank_base::prelude::*;

/// Time after the last report of an entry at which it counts as dead and loses its quotas.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Last report of one entry about a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Identity of the process, the same for all entries and unique among them.
    pub id: u64,
    /// Where the entry runs.
    pub availability_zone: availability_zone::Key,
    /// Its demand in thousandths of a slot, see [`super::Demand`].
    pub demand: u64,
    /// The part of its demand that other availability zones may serve, in thousandths of a slot.
    pub spill: u64,
    /// When its last report arrived, or when its membership became known.
    pub heard: Time,
}

/// One upstream of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Identity of the upstream, the same for all entries and unique among the upstreams.
    pub id: u64,
    /// Where the upstream runs.
    pub availability_zone: availability_zone::Key,
    /// Requests that it can run at once, from all entries together.
    pub slots: u32,
}

/// Returns the number of slots that the entry `me` should get of each upstream, in the order of `upstreams`.
///
/// The quotas of entries with the same view add up to the slots of each upstream whose zone has a live entry. The order
/// of entries and upstreams doesn't matter. An entry without a report for [`SILENCE_LIMIT`] counts as dead, except for
/// `me`. Draining upstreams should be left out, or an idle entry may get its only slot there.
pub fn target_quotas(now: Time, me: u64, entries: &[Entry], upstreams: &[Upstream]) -> Vec<u32> {
    let alive = |entry: &&Entry| entry.id == me || now.since(entry.heard) < SILENCE_LIMIT;
    let mut live: Vec<Entry> = entries.iter().filter(alive).copied().collect();
    live.sort_unstable_by_key(|entry| entry.id);
    let mut quotas = vec![0; upstreams.len()];
    let Some(my_index) = live.iter().position(|entry| entry.id == me) else {
        return quotas;
    };
    let balances = totals::balances(&live, upstreams);
    for balance in &balances {
        let totals = totals::entry_totals(balance, &live, &balances);
        let rows: Vec<usize> = (0..upstreams.len())
            .filter(|&row| upstreams[row].availability_zone == balance.zone)
            .collect();
        distribute(
            &rows,
            upstreams,
            &live,
            &totals,
            |row, entry_index, slots| {
                if entry_index == my_index {
                    quotas[row] += slots;
                }
            },
        );
    }
    quotas
}

/// Returns the quotas that a new entry uses before it has reports of others: one slot in all.
///
/// The others learn of the entry from its first report, so until then two entries may use this slot at once.
pub fn initial_quotas(me: u64, home: availability_zone::Key, upstreams: &[Upstream]) -> Vec<u32> {
    let own = |row: &usize| {
        let upstream = &upstreams[*row];
        upstream.availability_zone == home && upstream.slots >= totals::MIN_SLOTS
    };
    let rows = (0..upstreams.len()).filter(own);
    let first = rows.max_by_key(|&row| mix(me, upstreams[row].id));
    let quota = |row: usize| {
        if Some(row) == first {
            totals::MIN_SLOTS
        } else {
            0
        }
    };
    (0..upstreams.len()).map(quota).collect()
}

/// Distributes the slots of each entry over the upstreams of a zone.
///
/// Each pair of an entry and an upstream gets its proportional share rounded down. What is left goes one slot at a time
/// to the pairs in the order of their rendezvous hash, so that a small change of the totals moves few slots and no
/// entry is preferred at every upstream. `rows` are the indexes of the upstreams of the zone. `assign` gets the index
/// of an upstream, the index of an entry and the number of slots.
fn distribute(
    rows: &[usize],
    upstreams: &[Upstream],
    entries: &[Entry],
    totals: &[u32],
    mut assign: impl FnMut(usize, usize, u32),
) {
    let all: u64 = totals.iter().map(|total| u64::from(*total)).sum();
    let mut due = totals.to_vec();
    let mut free: Vec<u32> = rows.iter().map(|&row| upstreams[row].slots).collect();
    let mut pairs = Vec::with_capacity(rows.len() * entries.len());
    for (row_index, &row) in rows.iter().enumerate() {
        for (entry_index, entry) in entries.iter().enumerate() {
            let slots = proportional_floor(upstreams[row].slots, totals[entry_index], all);
            due[entry_index] -= slots;
            free[row_index] -= slots;
            assign(row, entry_index, slots);
            pairs.push((mix(entry.id, upstreams[row].id), row_index, entry_index));
        }
    }
    pairs.sort_unstable();
    // A pass gives each pair at most one slot, so it may take several passes.
    while due.iter().any(|due| *due > 0) && free.iter().any(|free| *free > 0) {
        for &(_, row_index, entry_index) in &pairs {
            if due[entry_index] > 0 && free[row_index] > 0 {
                due[entry_index] -= 1;
                free[row_index] -= 1;
                assign(rows[row_index], entry_index, 1);
            }
        }
    }
}

fn proportional_floor(slots: u32, total: u32, all: u64) -> u32 {
    if all == 0 {
        return 0;
    }
    let quota = u64::from(slots) * u64::from(total) / all;
    u32::try_from(quota).unwrap_or(u32::MAX)
}
