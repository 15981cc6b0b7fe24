//! Simulated hosts, a log that uses the ledger's real state, and planner processes that read the log.

#![allow(dead_code, unreachable_pub)]

pub mod process;
pub mod world;

use sassafrascrank_base::{
    hash::mix,
    prelude::*, //
};

pub const SECOND: Duration = Duration::from_secs(1);

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// Seeded random number generator.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(1);
        mix(mix(self.0)) % limit
    }

    /// Returns true with a probability of `ppm` in a million.
    pub fn chance(&mut self, ppm: u64) -> bool {
        self.below(1_000_000) < ppm
    }
}
