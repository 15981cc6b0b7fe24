//! How many slots of a zone each entry is due.

use super::{
    Entry,
    MILLISLOTS_PER_SLOT,
    Upstream,
    hash::mix, //
};
use sassafrascrank_base::prelude::*;

/// Slots that each entry keeps in its own zone, so that it can start work at once.
pub(crate) const MINIMUM: u32 = 1;

/// Slots, demand and room of one availability zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Balance {
    pub(crate) zone: availability_zone::Key,
    /// Slots of its upstreams.
    pub(crate) slots: u64,
    /// Demand of its own entries in thousandths of a slot, at least the minimum of each.
    wanted: u64,
    /// Lowest identity of its upstreams; varies the rounding between pools and zones.
    salt: u64,
}

impl Balance {
    fn room(&self) -> u64 {
        (self.slots * MILLISLOTS_PER_SLOT).saturating_sub(self.wanted)
    }

    fn excess(&self) -> u64 {
        self.wanted.saturating_sub(self.slots * MILLISLOTS_PER_SLOT)
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
        find(&mut balances, entry.availability_zone).wanted += want(entry);
    }
    balances
}

fn find(balances: &mut Vec<Balance>, zone: availability_zone::Key) -> &mut Balance {
    let known = balances.iter().position(|balance| balance.zone == zone);
    let place = known.unwrap_or(balances.len());
    if known.is_none() {
        balances.push(Balance {
            zone,
            slots: 0,
            wanted: 0,
            salt: u64::MAX,
        });
    }
    &mut balances[place]
}

/// Returns whole slots of one zone for each entry; they add up to the slots of the zone if it has entries.
pub(crate) fn totals(balance: &Balance, entries: &[Entry], balances: &[Balance]) -> Vec<u32> {
    let foreign: Vec<u64> = entries
        .iter()
        .map(|entry| spill(entry, balance, balances))
        .collect();
    let granted = scale(&foreign, balance.room());
    let left = balance.slots * MILLISLOTS_PER_SLOT - granted.iter().sum::<u64>();
    let own: Vec<usize> = (0..entries.len())
        .filter(|&place| entries[place].availability_zone == balance.zone)
        .collect();
    let mut due = granted;
    for (place, share) in own.iter().zip(shares(&own, entries, left)) {
        due[*place] = share;
    }
    round(balance, entries, &due)
}

fn want(entry: &Entry) -> u64 {
    entry.demand.max(u64::from(MINIMUM) * MILLISLOTS_PER_SLOT)
}

/// Returns the demand of an entry that its own zone can't serve and that falls on the zone `here`.
///
/// The excess is spread over the other zones by the room that they have.
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
    let excess = part(want(entry), home.excess(), home.wanted).min(entry.spill);
    let others = balances.iter().filter(|other| other.zone != home.zone);
    let room = others.map(Balance::room).sum();
    part(excess, here.room(), room)
}

/// Divides the slots of a zone between its own entries, in thousandths of a slot.
///
/// If they suffice, each entry gets its demand and an equal part of the rest, so that an idle entry can take a burst
/// at once. Otherwise each entry gets the minimum, and the rest is divided by demand above the minimum. Both rules
/// meet where the slots just suffice.
fn shares(own: &[usize], entries: &[Entry], slots: u64) -> Vec<u64> {
    let count = own.len() as u64;
    if count == 0 {
        return Vec::new();
    }
    let wants: Vec<u64> = own.iter().map(|&place| want(&entries[place])).collect();
    let wanted: u64 = wants.iter().sum();
    if wanted <= slots {
        let rest = (slots - wanted) / count;
        return wants.iter().map(|want| want + rest).collect();
    }
    let least = (u64::from(MINIMUM) * MILLISLOTS_PER_SLOT).min(slots / count);
    let rest = slots - least * count;
    let above = wanted - least * count;
    let share = |want: &u64| least + part(rest, want - least, above);
    wants.iter().map(share).collect()
}

/// Shrinks amounts in proportion until they fit into a limit.
fn scale(amounts: &[u64], limit: u64) -> Vec<u64> {
    let sum: u64 = amounts.iter().sum();
    if sum <= limit {
        return amounts.to_vec();
    }
    amounts
        .iter()
        .map(|amount| part(limit, *amount, sum))
        .collect()
}

/// Rounds to whole slots by the largest remainder; equal remainders rank by the rendezvous hash.
fn round(balance: &Balance, entries: &[Entry], due: &[u64]) -> Vec<u32> {
    let mut whole: Vec<u32> = due
        .iter()
        .map(|due| u32::try_from(due / MILLISLOTS_PER_SLOT).unwrap_or(u32::MAX))
        .collect();
    let given: u64 = whole.iter().map(|slots| u64::from(*slots)).sum();
    let mut order: Vec<usize> = (0..due.len()).filter(|&place| due[place] > 0).collect();
    let rank = |place: &usize| {
        (
            due[*place] % MILLISLOTS_PER_SLOT,
            mix(entries[*place].id, balance.salt),
        )
    };
    order.sort_unstable_by_key(|place| core::cmp::Reverse(rank(place)));
    let rest = usize::try_from(balance.slots.saturating_sub(given)).unwrap_or(usize::MAX);
    if order.is_empty() {
        return whole;
    }
    for place in order.iter().cycle().take(rest) {
        whole[*place] += 1;
    }
    whole
}

/// Returns `amount * numerator / denominator`, 0 for a denominator of 0.
fn part(amount: u64, numerator: u64, denominator: u64) -> u64 {
    if denominator == 0 {
        return 0;
    }
    let product = u128::from(amount) * u128::from(numerator);
    u64::try_from(product / u128::from(denominator)).unwrap_or(u64::MAX)
}
