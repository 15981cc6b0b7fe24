//! Demand for a pool, and its one-byte form.

use super::PoolHash;

/// Smallest demand above 0 that a level can express, in thousandths of a slot.
const MIN_MILLISLOTS: u64 = 125;
/// Eight steps between 1 and 2, in 1,024ths.
const STEP_FACTORS: [u64; 8] = [1_024, 1_117, 1_218, 1_328, 1_448, 1_579, 1_722, 1_878];

/// Demand for one pool, in thousandths of a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Hash of the pool's name.
    pub pool: PoolHash,
    /// Slots that the entry could use; 0 if the demand has ended.
    pub millislots: u64,
    /// The part of it that other availability zones may serve.
    pub spill_millislots: u64,
}

/// Demand in one byte: eight steps for each factor of two, so that a value is off by 5% at most.
///
/// Demands are only weights for the division of slots between entries. All entries must use the same weights, so an
/// entry rounds its own demand too.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Level(pub u8);

impl Demand {
    /// Returns the demand that a peer decodes after the rounding to levels.
    pub fn rounded(self) -> Self {
        Self {
            pool: self.pool,
            millislots: Level::of(self.millislots).value(),
            spill_millislots: Level::of(self.spill_millislots).value(),
        }
    }
}

impl Level {
    /// Returns the level closest to `value` in thousandths of a slot; any demand above 0 has a level above 0.
    pub fn of(value: u64) -> Self {
        if value == 0 {
            return Self(0);
        }
        let (mut low, mut high) = (1, u8::MAX);
        while low < high {
            let middle = low + (high - low) / 2;
            if Self(middle).value() < value {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        let below = Self(low.max(2) - 1);
        let above = Self(low);
        if value.abs_diff(below.value()) < value.abs_diff(above.value()) {
            return below;
        }
        above
    }

    /// Returns the demand in thousandths of a slot.
    pub const fn value(self) -> u64 {
        if self.0 == 0 {
            return 0;
        }
        let step = (self.0 - 1) as usize;
        ((MIN_MILLISLOTS * STEP_FACTORS[step % STEP_FACTORS.len()]) << (step / STEP_FACTORS.len()))
            >> 10
    }
}
