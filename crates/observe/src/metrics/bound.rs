//! Limits on the number of label values and label sets, which keep scrapes small.

use core::hash::Hash;
use std::collections::HashSet;

/// Largest number of customers with a label value of their own; the others share the value `other`.
pub const CUSTOMER_LIMIT: usize = 1_000;
/// Largest number of pools with a label value of their own; the others share the value `other`.
pub const POOL_LIMIT: usize = 256;
/// Largest number of label sets of customer, pool, outcome and reason with a time series of their own. Requests beyond
/// it are counted with customer and pool `other`. One set takes about 200 bytes in a scrape, so a scrape stays near
/// 1 MB.
pub const LABEL_SET_LIMIT: usize = 5_000;

/// Cardinality limit of a label: admits the first `limit` distinct keys and no others.
#[derive(Debug)]
pub struct Bound<K> {
    admitted: HashSet<K>,
    limit: usize,
}

impl<K: Clone + Eq + Hash> Bound<K> {
    /// Creates a bound that admits `limit` keys.
    pub fn new(limit: usize) -> Self {
        Self {
            admitted: HashSet::new(),
            limit,
        }
    }

    /// Tells whether the key is admitted. Admits a new key as long as there are fewer than `limit`.
    pub fn admits(&mut self, key: &K) -> bool {
        if self.admitted.contains(key) {
            return true;
        }
        if self.admitted.len() >= self.limit {
            return false;
        }
        self.admitted.insert(key.clone())
    }
}
