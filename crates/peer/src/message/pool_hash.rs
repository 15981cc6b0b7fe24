//! Hash of a pool name.

use sassafrascrank_base::{
    hash,
    prelude::Name, //
};

/// 32-bit hash of a pool name, the same in every process and version.
///
/// In a report, a name takes up to 63 bytes and a hash takes 5. Any two of 199 names share a hash with a probability of
/// 5 in a million. The demand for such pools is then mixed up, which affects only their load limits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PoolHash(pub u32);

impl PoolHash {
    /// Returns the hash of a pool's name.
    pub fn of(pool: &Name) -> Self {
        Self(hash::text(pool.as_str()) as u32)
    }
}
