//! Number of slots of each availability zone that each entry gets.

use super::{
    Entry,
    MILLISLOTS_PER_SLOT,
    Upstream,
    hash::mix, //
};
use sassafrascrank_base::prelude::*;

/// Fewest slots of an entry in its own zone, so that it can serve a first request at once.
pub(crate) const MIN_SLOTS: u32 = 1;

/// Slots and demand of one availability zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Balance {
    pub(crate) zone: availability_zone::Key,
    /// Slots of all its upstreams.
    pub(crate) slots: u64,
    /// Demand of its own entries in thousandths of a slot; each counts with at least [`MIN_SLOTS`].
    demand: u64,
    /// Lowest identity of its upstreams, so that the rounding differs between pools and zones.
    salt: u64,
}

impl Balance {
    /// Returns what its own entries leave free, in thousandths of a slot.
    fn room(&self) -> u64 {
        (self.slots * MILLISLOTS_PER_SLOT).saturating_sub(self.demand)
    }

    /// Returns the demand of its own entries beyond its slots, in thousandths of a slot.
    fn excess(&self) -> u64 {
        self.demand.saturating_sub(self.slots * MILLISLOTS_PER_SLOT)
    }
}

/// Returns the balance of each zone that has upstreams or entries.
pub(crate) fn balances(entries: &[Entry], upstreams: &[Upstream]) -> Vec<Balance> {
    let mut balances = Vec::new();
    for upstream in upstreams {
        let balance = find(&mut balances, upstream.availability_zone);
        balance.slots += u64::from(upstream.slots);
        balance.salt = balance.salt.min(upstream.id);
    }
    for entry in entries {
        find(&mut balances, entry.availability_zone).demand += demand_of(entry);
    }
    balances
}

fn find(balances: &mut Vec<Balance>, zone: availability_zone::Key) -> &mut Balance {
    let known = balances.iter().position(|balance| balance.zone == zone);
    let index = known.unwrap_or(balances.len());
    if known.is_none() {
        balances.push(Balance {
            zone,
            slots: 0,
            demand: 0,
            salt: u64::MAX,
        });
    }
    &mut balances[index]
}

/// Returns the number of slots of one zone for each entry; they add up to the slots of the zone if it has entries.
pub(crate) fn entry_totals(balance: &Balance, entries: &[Entry], balances: &[Balance]) -> Vec<u32> {
    let foreign: Vec<u64> = entries
        .iter()
        .map(|entry| spill(entry, balance, balances))
        .collect();
    let granted = scale_down(&foreign, balance.room());
    let left = balance.slots * MILLISLOTS_PER_SLOT - granted.iter().sum::<u64>();
    let own: Vec<usize> = (0..entries.len())
        .filter(|&index| entries[index].availability_zone == balance.zone)
        .collect();
    let mut due = granted;
    for (index, share) in own.iter().zip(shares(&own, entries, left)) {
        due[*index] = share;
    }
    round_to_slots(balance, entries, &due)
}

fn demand_of(entry: &Entry) -> u64 {
    entry.demand.max(u64::from(MIN_SLOTS) * MILLISLOTS_PER_SLOT)
}

/// Returns the part of the demand of an entry that its own zone can't serve and that the zone `here` should take.
///
/// The excess is divided between the other zones in proportion to their room.
fn spill(entry: &Entry, here: &Balance, balances: &[Balance]) -> u64 {
    if entry.availability_zone == here.zone || entry.spill == 0 {
        return 0;
    }
    let home = balances
        .iter()
        .find(|home| home.zone == entry.availability_zone);
    let Some(home) = home else {
        return 0;
    };
    let excess = mul_div(demand_of(entry), home.excess(), home.demand).min(entry.spill);
    let others = balances.iter().filter(|other| other.zone != home.zone);
    let room = others.map(Balance::room).sum();
    mul_div(excess, here.room(), room)
}

/// Divides the slots of a zone between its own entries, in thousandths of a slot.
///
/// If they suffice, each entry gets its demand and an equal part of the rest, so that an idle entry can serve a burst
/// at once. Otherwise each entry gets the minimum, and the rest is divided in proportion to the demand above it. Both
/// rules give the same result where the slots just suffice.
fn shares(own: &[usize], entries: &[Entry], slots: u64) -> Vec<u64> {
    let count = own.len() as u64;
    if count == 0 {
        return Vec::new();
    }
    let demands: Vec<u64> = own
        .iter()
        .map(|&index| demand_of(&entries[index]))
        .collect();
    let total_demand: u64 = demands.iter().sum();
    if total_demand <= slots {
        let rest = (slots - total_demand) / count;
        return demands.iter().map(|demand| demand + rest).collect();
    }
    let minimum = (u64::from(MIN_SLOTS) * MILLISLOTS_PER_SLOT).min(slots / count);
    let rest = slots - minimum * count;
    let above = total_demand - minimum * count;
    let share = |demand: &u64| minimum + mul_div(rest, demand - minimum, above);
    demands.iter().map(share).collect()
}

/// Reduces amounts in proportion until their sum fits into a limit.
fn scale_down(amounts: &[u64], limit: u64) -> Vec<u64> {
    let sum: u64 = amounts.iter().sum();
    if sum <= limit {
        return amounts.to_vec();
    }
    amounts
        .iter()
        .map(|amount| mul_div(limit, *amount, sum))
        .collect()
}

/// Rounds to whole slots by the largest remainder method; equal remainders are ordered by the rendezvous hash.
fn round_to_slots(balance: &Balance, entries: &[Entry], due: &[u64]) -> Vec<u32> {
    let mut whole: Vec<u32> = due
        .iter()
        .map(|due| u32::try_from(due / MILLISLOTS_PER_SLOT).unwrap_or(u32::MAX))
        .collect();
    let given: u64 = whole.iter().map(|slots| u64::from(*slots)).sum();
    let mut order: Vec<usize> = (0..due.len()).filter(|&index| due[index] > 0).collect();
    let rank = |index: &usize| {
        (
            due[*index] % MILLISLOTS_PER_SLOT,
            mix(entries[*index].id, balance.salt),
        )
    };
    order.sort_unstable_by_key(|index| core::cmp::Reverse(rank(index)));
    let rest = usize::try_from(balance.slots.saturating_sub(given)).unwrap_or(usize::MAX);
    if order.is_empty() {
        return whole;
    }
    for index in order.iter().cycle().take(rest) {
        whole[*index] += 1;
    }
    whole
}

/// Returns `amount * numerator / denominator`, 0 for a denominator of 0.
fn mul_div(amount: u64, numerator: u64, denominator: u64) -> u64 {
    if denominator == 0 {
        return 0;
    }
    let product = u128::from(amount) * u128::from(numerator);
    u64::try_from(product / u128::from(denominator)).unwrap_or(u64::MAX)
}
