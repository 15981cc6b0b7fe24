//! What runs in a pool for each account, relative to the accounts' weights.

use super::{
    Key,
    Slot, //
};
use core::cmp::Ordering;
use sassafrascrank_job::Resource;

/// Part of a pool that runs for an account, relative to its weight. Accounts with a smaller one come first.
#[derive(Clone, Copy, Debug)]
pub struct Share(f64);

impl Eq for Share {}

impl PartialEq for Share {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl PartialOrd for Share {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Share {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// What runs in a pool for each account. Tasks without an account count together as one more.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// What the runners of the pool can run at once.
    capacity: Resource,
    /// What runs for each account and its weight, by slot.
    rows: Vec<(Resource, u32)>,
}

impl Shares {
    /// Creates shares of a pool in which nothing runs. Tasks without an account have a weight of `others` together.
    pub fn new(capacity: Resource, weights: impl Iterator<Item = (Key, u32)>, others: u32) -> Self {
        let mut rows = vec![(Resource::default(), others)];
        for (key, weight) in weights {
            let index = Slot::from(Some(key)).index();
            rows.resize(rows.len().max(index + 1), (Resource::default(), 0));
            rows[index].1 = weight;
        }
        Self { capacity, rows }
    }

    /// Counts runs of an account.
    pub fn add(&mut self, account: Slot, need: Resource) {
        if let Some((used, _)) = self.rows.get_mut(account.index()) {
            *used += need;
        }
    }

    /// Returns the share of an account by its dominant resource.
    pub fn of(&self, account: Slot) -> Share {
        let (used, weight) = self.rows.get(account.index()).copied().unwrap_or_default();
        // An account without a guaranteed rate comes after the others once anything runs for it.
        Share(self.capacity.share(used) / f64::from(weight).max(f64::MIN_POSITIVE))
    }

    /// Returns the size of a table by slot.
    pub fn slots(&self) -> usize {
        self.rows.len()
    }
}
