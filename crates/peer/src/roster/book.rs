//! Which demand a peer has been told, and what it has told.

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

/// Most pools in a book; beyond it, pools without demand are forgotten.
const BOOK_LIMIT: usize = 2 * DEMAND_LIMIT;

/// Demand that was sent to one peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Book {
    /// Last value sent, or `None` if it may not have arrived.
    sent: BTreeMap<PoolHash, Option<Demand>>,
    /// Pool hash of the last repeat.
    cursor: Option<PoolHash>,
}

impl Book {
    /// Forgets what arrived, so that everything is sent again.
    pub(super) fn reset(&mut self) {
        self.sent.values_mut().for_each(|value| *value = None);
    }

    /// Chooses at most `limit` pools: one repeat in turn, and those whose demand changed most.
    pub(super) fn select(
        &mut self,
        current: &BTreeMap<PoolHash, Demand>,
        limit: usize,
    ) -> Vec<Demand> {
        let repeat = self.repeat(current);
        let mut chosen: Vec<Demand> = repeat.into_iter().collect();
        let sent = |pool: PoolHash| self.sent.get(&pool).copied().flatten();
        let unsure = self.sent.keys().copied();
        let changes = rank(current, unsure, sent, self.cursor.unwrap_or(PoolHash(0)));
        let repeated = repeat.map(|repeat| repeat.pool);
        let others = changes.filter(|demand| Some(demand.pool) != repeated);
        chosen.extend(others.take(limit.saturating_sub(chosen.len())));
        // A zero stays in the book, since it is sent again if it may have been lost.
        let sent = chosen.iter().map(|demand| (demand.pool, Some(*demand)));
        self.sent.extend(sent);
        if self.sent.len() > BOOK_LIMIT {
            self.sent.retain(|pool, _| current.contains_key(pool));
        }
        chosen
    }

    /// Returns the next pool in the order of tags, so that every value arrives sometime.
    fn repeat(&mut self, current: &BTreeMap<PoolHash, Demand>) -> Option<Demand> {
        let after = |cursor: PoolHash| (Bound::Excluded(cursor), Bound::Unbounded);
        let next = self
            .cursor
            .and_then(|cursor| current.range(after(cursor)).next());
        let (pool, demand) = next.or_else(|| current.iter().next())?;
        self.cursor = Some(*pool);
        Some(*demand)
    }
}

/// Demand that all peers of the zone, and this process itself, weigh with.
///
/// It follows the present demand in steps that reach every peer with its next report. If this process weighed with a
/// burst that its peers don't know yet, their parts of the slots would not add up.
#[derive(Clone, Debug, Default)]
pub(super) struct Bulletin {
    pub(super) demands: BTreeMap<PoolHash, Demand>,
    /// Pool hash of the last change, after which equal changes go first.
    cursor: Option<PoolHash>,
}

impl Bulletin {
    /// Takes over at most `limit` changes, the largest first.
    pub(super) fn follow(&mut self, present: &BTreeMap<PoolHash, Demand>, limit: usize) {
        let known = &self.demands;
        let cursor = self.cursor.unwrap_or(PoolHash(0));
        let known_pools = known.keys().copied();
        let changes = rank(
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

/// Merges changes into what is known of an entry's demand.
pub(super) fn merge(known: &mut BTreeMap<PoolHash, Demand>, changes: &[Demand]) {
    for demand in changes {
        if demand.millislots == 0 {
            known.remove(&demand.pool);
        } else if known.len() < DEMAND_LIMIT || known.contains_key(&demand.pool) {
            known.insert(demand.pool, *demand);
        }
    }
}

/// Returns the demands in `current` that differ from what is known, and a zero for each of `pools` that has ended.
///
/// The largest relative change goes first, since each pool's slots are divided on their own. Equal changes go in turn.
fn rank(
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
