//! Demand that was sent to a peer, that this process has published, and that a peer has reported.

use crate::{
    message::{
        Demand,
        Level,
        PoolHash, //
    },
    wire::DEMAND_LIMIT, //
};
use core::{
    cmp::Reverse,
    ops::Bound, //
};
use std::collections::BTreeMap;

/// Most pools for which the last sent value is kept; beyond it, pools without demand are removed.
const SENT_POOL_LIMIT: usize = 2 * DEMAND_LIMIT;

/// Demand that was last sent to one peer; the next report contains what differs from it.
#[derive(Clone, Debug, Default)]
pub(super) struct SentDemand {
    /// Last value sent, or `None` if it may not have arrived.
    sent: BTreeMap<PoolHash, Option<Demand>>,
    /// Pool that was last sent in turn.
    cursor: Option<PoolHash>,
}

impl SentDemand {
    /// Marks every value as possibly lost, so that all are sent again.
    pub(super) fn reset(&mut self) {
        self.sent.values_mut().for_each(|value| *value = None);
    }

    /// Chooses the demand for the next report: one pool in turn, changed or not, and the largest changes, at most
    /// `limit` pools in all.
    pub(super) fn select(
        &mut self,
        current: &BTreeMap<PoolHash, Demand>,
        limit: usize,
    ) -> Vec<Demand> {
        let repeat = self.next_repeat(current);
        let mut chosen: Vec<Demand> = repeat.into_iter().collect();
        let sent = |pool: PoolHash| self.sent.get(&pool).copied().flatten();
        let recorded = self.sent.keys().copied();
        let changes = ranked_changes(current, recorded, sent, self.cursor.unwrap_or(PoolHash(0)));
        let repeated = repeat.map(|repeat| repeat.pool);
        let others = changes.filter(|demand| Some(demand.pool) != repeated);
        chosen.extend(others.take(limit.saturating_sub(chosen.len())));
        // A zero is kept too, since it must be sent again if it may have been lost.
        let sent = chosen.iter().map(|demand| (demand.pool, Some(*demand)));
        self.sent.extend(sent);
        if self.sent.len() > SENT_POOL_LIMIT {
            self.sent.retain(|pool, _| current.contains_key(pool));
        }
        chosen
    }

    /// Returns the next pool in the order of the hashes, so that every value is sent again sooner or later.
    fn next_repeat(&mut self, current: &BTreeMap<PoolHash, Demand>) -> Option<Demand> {
        let after = |cursor: PoolHash| (Bound::Excluded(cursor), Bound::Unbounded);
        let next = self
            .cursor
            .and_then(|cursor| current.range(after(cursor)).next());
        let (pool, demand) = next.or_else(|| current.iter().next())?;
        self.cursor = Some(*pool);
        Some(*demand)
    }
}

/// Demand of this process that is used as its weight when the zone's slots are divided, here and at the peers.
///
/// It follows the present demand in steps that are small enough for the next report to every peer. If this process used
/// a burst that its peers don't know yet, the shares that the entries compute would not add up.
#[derive(Clone, Debug, Default)]
pub(super) struct PublishedDemand {
    pub(super) demands: BTreeMap<PoolHash, Demand>,
    /// Pool of the last change; among equal changes, those after it go first.
    cursor: Option<PoolHash>,
}

impl PublishedDemand {
    /// Applies at most `limit` changes from the present demand, the largest first.
    pub(super) fn apply_changes(&mut self, present: &BTreeMap<PoolHash, Demand>, limit: usize) {
        let known = &self.demands;
        let cursor = self.cursor.unwrap_or(PoolHash(0));
        let known_pools = known.keys().copied();
        let changes = ranked_changes(
            present,
            known_pools,
            |pool| known.get(&pool).copied(),
            cursor,
        );
        let changes: Vec<Demand> = changes.take(limit).collect();
        self.cursor = changes.last().map(|demand| demand.pool).or(self.cursor);
        merge(&mut self.demands, &changes);
    }
}

/// Merges reported changes into the known demand of an entry; a demand of 0 removes the pool.
pub(super) fn merge(known: &mut BTreeMap<PoolHash, Demand>, changes: &[Demand]) {
    for demand in changes {
        if demand.millislots == 0 {
            known.remove(&demand.pool);
        } else if known.len() < DEMAND_LIMIT || known.contains_key(&demand.pool) {
            known.insert(demand.pool, *demand);
        }
    }
}

/// Returns the demands in `current` that differ from `known`, and a zero for each of `pools` that is not in `current`.
///
/// The largest relative change goes first, since the slots of each pool are divided separately. Equal changes go in the
/// order of their hashes, beginning after `cursor`.
fn ranked_changes(
    current: &BTreeMap<PoolHash, Demand>,
    pools: impl Iterator<Item = PoolHash>,
    known: impl Fn(PoolHash) -> Option<Demand>,
    cursor: PoolHash,
) -> impl Iterator<Item = Demand> {
    let ended = pools.filter(|pool| !current.contains_key(pool));
    let ended = ended.map(|pool| (pool, None));
    let present = current.iter().map(|(pool, demand)| (*pool, Some(*demand)));
    let mut changes = Vec::new();
    for (pool, demand) in present.chain(ended) {
        let before = known(pool);
        let zero = Demand {
            pool,
            millislots: 0,
            spill_millislots: 0,
        };
        let demand = demand.unwrap_or(zero);
        if before == Some(demand) {
            continue;
        }
        let (slots, spill) = levels(demand);
        let (old_slots, old_spill) = levels(before.unwrap_or(zero));
        let change = slots.abs_diff(old_slots).max(spill.abs_diff(old_spill));
        let turn = pool.0.wrapping_sub(cursor.0).wrapping_sub(1);
        changes.push((Reverse(change), turn, demand));
    }
    changes.sort_unstable_by_key(|(change, turn, _)| (*change, *turn));
    changes.into_iter().map(|(.., demand)| demand)
}

fn levels(demand: Demand) -> (u8, u8) {
    (
        Level::of(demand.millislots).0,
        Level::of(demand.spill_millislots).0,
    )
}
