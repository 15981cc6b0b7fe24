//! Binary heap that knows the position of each item.

use slotmap::{
    Key,
    SecondaryMap, //
};

/// Binary min-heap of keys by rank; the rank of a key can be changed in logarithmic time.
///
/// It allocates only when an item is added, not when ranks change.
#[derive(Debug)]
pub(crate) struct Heap<K: Key, R> {
    nodes: Vec<(R, K)>,
    positions: SecondaryMap<K, usize>,
}

impl<K: Key, R: Copy + Ord> Heap<K, R> {
    /// Creates an empty heap.
    pub(crate) fn new() -> Self {
        Self {
            nodes: Vec::new(),
            positions: SecondaryMap::new(),
        }
    }

    /// Adds an item or changes its rank.
    pub(crate) fn set(&mut self, key: K, rank: R) {
        let position = match self.positions.get(key) {
            Some(&position) => {
                self.nodes[position].0 = rank;
                position
            }
            None => {
                self.nodes.push((rank, key));
                self.positions.insert(key, self.nodes.len() - 1);
                self.nodes.len() - 1
            }
        };
        self.restore_order(position);
    }

    /// Removes an item if it is present.
    pub(crate) fn remove(&mut self, key: K) {
        let Some(position) = self.positions.remove(key) else {
            return;
        };
        self.nodes.swap_remove(position);
        if let Some(&(_, moved)) = self.nodes.get(position) {
            self.positions.insert(moved, position);
            self.restore_order(position);
        }
    }

    /// Reserves memory for this total number of items, so that adding them does not allocate.
    pub(crate) fn reserve(&mut self, items: usize) {
        self.nodes.reserve(items.saturating_sub(self.nodes.len()));
        self.positions.set_capacity(items);
    }

    /// Returns the item with the lowest rank.
    pub(crate) fn first(&self) -> Option<(R, K)> {
        self.nodes.first().copied()
    }

    /// Returns the item with the lowest rank, leaving out `avoid`.
    pub(crate) fn first_except(&self, avoid: Option<K>) -> Option<(R, K)> {
        let first = self.first()?;
        if Some(first.1) != avoid {
            return Some(first);
        }
        // The second lowest rank is always at one of the two children of the root.
        let children = self.nodes.iter().skip(1).take(2);
        children.min_by_key(|(rank, _)| *rank).copied()
    }

    /// Returns the number of items for which memory is held.
    pub(crate) fn capacity(&self) -> usize {
        self.nodes.capacity() + self.positions.capacity()
    }

    fn restore_order(&mut self, position: usize) {
        let position = self.sift_up(position);
        self.sift_down(position);
    }

    fn sift_up(&mut self, mut position: usize) -> usize {
        while position > 0 {
            let parent = (position - 1) / 2;
            if self.nodes[parent].0 <= self.nodes[position].0 {
                break;
            }
            self.swap(parent, position);
            position = parent;
        }
        position
    }

    fn sift_down(&mut self, mut position: usize) {
        loop {
            let left = 2 * position + 1;
            if left >= self.nodes.len() {
                return;
            }
            let right = left + 1;
            let right_is_lower =
                right < self.nodes.len() && self.nodes[right].0 < self.nodes[left].0;
            let child = if right_is_lower { right } else { left };
            if self.nodes[position].0 <= self.nodes[child].0 {
                return;
            }
            self.swap(position, child);
            position = child;
        }
    }

    fn swap(&mut self, first: usize, second: usize) {
        self.nodes.swap(first, second);
        self.positions.insert(self.nodes[first].1, first);
        self.positions.insert(self.nodes[second].1, second);
    }
}
