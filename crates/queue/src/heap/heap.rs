//! Indexed binary heap over arena keys.

use slotmap::{
    Key,
    SecondaryMap, //
};

/// Binary min-heap that finds, changes and removes an item by its key in logarithmic time.
#[derive(Debug)]
pub(crate) struct Heap<K: Key, P> {
    items: Vec<(P, K)>,
    positions: SecondaryMap<K, usize>,
}

impl<K: Key, P: Copy + Ord> Heap<K, P> {
    /// Creates an empty heap with room for `capacity` items.
    pub(crate) fn with_capacity(capacity: usize) -> Self {
        Self {
            items: Vec::with_capacity(capacity),
            positions: SecondaryMap::with_capacity(capacity),
        }
    }

    /// Adds an item or changes its priority.
    pub(crate) fn set(&mut self, key: K, priority: P) {
        let position = match self.positions.get(key) {
            Some(&position) => position,
            None => {
                self.items.push((priority, key));
                self.items.len() - 1
            }
        };
        self.items[position].0 = priority;
        self.restore_order(position);
    }

    /// Removes an item; returns whether the heap held it.
    pub(crate) fn remove(&mut self, key: K) -> bool {
        let Some(position) = self.positions.remove(key) else {
            return false;
        };
        self.items.swap_remove(position);
        if position < self.items.len() {
            self.restore_order(position);
        }
        true
    }

    /// Returns the item with the smallest priority.
    pub(crate) fn first(&self) -> Option<(P, K)> {
        self.items.first().copied()
    }

    /// Returns whether the heap holds the key.
    pub(crate) fn contains(&self, key: K) -> bool {
        self.positions.contains_key(key)
    }

    /// Returns the number of items.
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns the size of the allocated containers in bytes.
    pub(crate) fn capacity_bytes(&self) -> usize {
        self.items.capacity() * size_of::<(P, K)>() + self.positions.capacity() * size_of::<usize>()
    }

    /// Moves the item at `position` up or down until the heap is in order.
    fn restore_order(&mut self, mut position: usize) {
        while position > 0 && self.items[position].0 < self.items[(position - 1) / 2].0 {
            position = self.swap(position, (position - 1) / 2);
        }
        while let Some(child) = self.smaller_child(position) {
            position = self.swap(position, child);
        }
        self.positions.insert(self.items[position].1, position);
    }

    /// Returns the smaller child of `position` if it precedes the item at `position`.
    fn smaller_child(&self, position: usize) -> Option<usize> {
        let left = 2 * position + 1;
        let right = left + 1;
        let last = self.items.len().min(right + 1);
        let child = (left..last).min_by_key(|&child| self.items[child].0)?;
        (self.items[child].0 < self.items[position].0).then_some(child)
    }

    /// Swaps two items and returns `to`; the recorded position of the item moved there is left to the caller.
    fn swap(&mut self, from: usize, to: usize) -> usize {
        self.items.swap(from, to);
        self.positions.insert(self.items[from].1, from);
        to
    }
}
