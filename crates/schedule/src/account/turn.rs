//! Order in which accounts get their turns while a pool is full.

use super::{
    Share,
    Shares,
    Slot, //
};
use core::{
    cmp::Reverse,
    ops::Range, //
};
use std::collections::BinaryHeap;

/// Waiting tasks of one account, in their order.
#[derive(Clone, Debug)]
struct Group {
    account: Slot,
    /// Positions of its tasks among all of them.
    places: Vec<usize>,
    /// Number of its tasks that had their turn.
    taken: usize,
    /// Whether the others get none.
    left_out: bool,
}

/// Waiting tasks that differ only in their accounts and deadlines.
///
/// Tasks within the rate of their accounts keep their order, which is that of their deadlines: turns by share would let more
/// jobs begin and fewer end in time, those of small accounts too. Of tasks beyond it, the account with the smallest share comes
/// first, and among equal shares the task that is first in the order of all.
#[derive(Clone, Debug)]
pub struct Turns {
    /// Places of the tasks that keep their order.
    ordered: Range<usize>,
    groups: Vec<Group>,
    /// Groups that have tasks left, by share and the place of their first task.
    heap: BinaryHeap<Reverse<(Share, usize, usize)>>,
}

impl Turns {
    /// Creates the turns of this number of tasks that keep their order.
    pub fn in_order(count: usize) -> Self {
        Self {
            ordered: 0..count,
            groups: Vec::new(),
            heap: BinaryHeap::new(),
        }
    }

    /// Creates the turns of tasks by the shares of their accounts.
    pub fn by_share(accounts: impl Iterator<Item = Slot>, shares: &Shares) -> Self {
        let mut turns = Self::in_order(0);
        let mut index: Vec<Option<usize>> = vec![None; shares.slots()];
        for (place, account) in accounts.enumerate() {
            let slot = account.index();
            if index.len() <= slot {
                index.resize(slot + 1, None);
            }
            let group = *index[slot].get_or_insert_with(|| {
                turns.groups.push(Group {
                    account,
                    places: Vec::new(),
                    taken: 0,
                    left_out: false,
                });
                turns.groups.len() - 1
            });
            turns.groups[group].places.push(place);
        }
        for group in 0..turns.groups.len() {
            turns.enqueue(group, shares);
        }
        turns
    }

    /// Returns the place of the task whose turn it is. Shares may have grown since the one before.
    pub fn take(&mut self, shares: &Shares) -> Option<usize> {
        if let Some(place) = self.ordered.next() {
            return Some(place);
        }
        loop {
            let Reverse((share, place, group)) = self.heap.pop()?;
            if self.groups[group].left_out {
                continue;
            }
            let present = shares.of(self.groups[group].account);
            if present == share {
                self.groups[group].taken += 1;
                self.enqueue(group, shares);
                return Some(place);
            }
            // A task of the account was planned meanwhile.
            self.heap.push(Reverse((present, place, group)));
        }
    }

    /// Gives no more turns by share to an account.
    pub fn leave_out(&mut self, account: Slot) {
        let mut groups = self.groups.iter_mut();
        if let Some(group) = groups.find(|group| group.account == account) {
            group.left_out = true;
        }
    }

    fn enqueue(&mut self, group: usize, shares: &Shares) {
        let row = &self.groups[group];
        if let Some(&place) = row.places.get(row.taken) {
            let share = shares.of(row.account);
            self.heap.push(Reverse((share, place, group)));
        }
    }
}
