//! Short form of a pool name.

use sassafrascrank_base::{
    hash,
    prelude::Name, //
};

/// 32-bit hash of a pool name, the same in every process and version.
///
/// A name takes up to 63 bytes in each report and a tag takes 5. Two of 199 names share a tag with a probability of 5
/// in a million; the demand for such pools is then mixed up, which is only a load limit.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PoolHash(pub u32);

impl PoolHash {
    /// Returns the tag of a pool.
    pub fn of(pool: &Name) -> Self {
        Self(hash::text(pool.as_str()) as u32)
    }
}
