//! Placement in a pool whose waiting tasks belong to client accounts.

use super::{
    Engine,
    place::Unplaced, //
};
use crate::{
    account::{
        Shares,
        Slot,
        Standing,
        Turns, //
    },
    queue::{
        Rank,
        key, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Resource;
use slotmap::SecondaryMap;

/// What each run in each pool needs, with the account that it counts against.
pub(super) type Loads = SecondaryMap<key::Pool, Vec<(Slot, Resource)>>;

impl Engine {
    /// Returns what runs in the pools that have waiting tasks.
    pub(super) fn loads(&self) -> Loads {
        let waiting = self.pools.iter().filter(|(_, pool)| !pool.ready.is_empty());
        let mut loads: Loads = waiting.map(|(key, _)| (key, Vec::new())).collect();
        if loads.is_empty() {
            return loads;
        }
        for run in self.runs.values() {
            let runner = self.runners.get(run.runner);
            if let Some(rows) = runner.and_then(|runner| loads.get_mut(runner.pool)) {
                rows.push((run.account.into(), run.full_need));
            }
        }
        loads
    }

    /// Returns the share of each account in a pool.
    fn shares(&self, pool: key::Pool, loads: &Loads) -> Shares {
        let mut capacity = Resource::default();
        for &runner in &self.pools[pool].runners {
            capacity += self.runners[runner].capacity;
        }
        let weights = self.accounts.iter();
        let weights = weights.map(|(key, account)| (key, account.weight));
        // Tasks without an account have the weight of an average account.
        let configured = self.accounts.values().filter(|account| account.configured);
        let count = configured.clone().count().max(1) as u64;
        let total: u64 = configured.map(|account| u64::from(account.weight)).sum();
        let mut shares = Shares::new(capacity, weights, (total / count) as u32);
        for &(account, need) in loads.get(pool).into_iter().flatten() {
            shares.add(account, need);
        }
        shares
    }

    /// Plans runs of the waiting tasks of a pool, like [`place_pool`](Self::place_pool). Of tasks beyond the rate
    /// of their accounts that are of the same class and tier, those of the account with the smallest share come first.
    pub(super) fn place_by_share(&mut self, pool: key::Pool, loads: &Loads, now: Time) {
        let ready: Vec<Rank> = self.pools[pool].ready.iter().copied().collect();
        let mut shares = self.shares(pool, loads);
        let mut unplaced = Unplaced::default();
        let mut had_turn = vec![false; ready.len()];
        let mut first = 0;
        for equals in ready.chunk_by(Rank::is_equal_but_deadline) {
            let accounts = equals.iter().map(|rank| rank.account);
            let mut turns = match equals[0].standing {
                Standing::Within => Turns::in_order(equals.len()),
                Standing::Beyond => Turns::by_share(accounts, &shares),
            };
            while let Some(place) = turns.take(&shares) {
                if unplaced.is_full() {
                    let behind = ready.iter().zip(&had_turn);
                    let behind = behind.filter(|(_, had_turn)| !**had_turn);
                    let behind: Vec<Rank> = behind.map(|(rank, _)| *rank).collect();
                    self.place_in_turn(pool, &behind, unplaced, now);
                    return;
                }
                had_turn[first + place] = true;
                let rank = equals[place];
                if self.is_exhausted(rank) {
                    turns.leave_out(rank.account);
                    continue;
                }
                if let Some(planned) = self.place_rank(pool, rank, &mut unplaced, now) {
                    shares.add(rank.account, planned);
                }
            }
            first += equals.len();
        }
    }
}
