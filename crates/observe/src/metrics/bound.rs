//! Bounds on the number of label sets.

use core::hash::Hash;
use std::collections::HashSet;

/// Customers that have a label value of their own; the others share `other`.
pub const CUSTOMER_LIMIT: usize = 1_000;
/// Pools that have a label value of their own; the others share `other`.
pub const POOL_LIMIT: usize = 256;
/// Sets of customer, pool, outcome and reason that are counted on their own. In the others, customer and pool are
/// `other`. One set takes about 200 bytes in a scrape, so that a scrape stays near 1 MB.
pub const LABEL_SET_LIMIT: usize = 5_000;

/// Admits the first `limit` distinct keys.
#[derive(Debug)]
pub struct Bound<K> {
    known: HashSet<K>,
    limit: usize,
}

impl<K: Clone + Eq + Hash> Bound<K> {
    /// Makes a bound of `limit` keys.
    pub fn new(limit: usize) -> Self {
        Self {
            known: HashSet::new(),
            limit,
        }
    }

    /// Tells whether the key is among the first `limit` distinct ones.
    pub fn admits(&mut self, key: &K) -> bool {
        if self.known.contains(key) {
            return true;
        }
        if self.known.len() >= self.limit {
            return false;
        }
        self.known.insert(key.clone())
    }
}
