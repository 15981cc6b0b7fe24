//! Demand of one entry for one pool.

use sassafrascrank_base::prelude::*;

/// Units of demand for one slot.
pub const MILLISLOTS_PER_SLOT: u64 = 1_000;

/// Time between two steps of the decay.
const STEP: Duration = Duration::from_millis(50);

/// Part of the difference that one step removes, as a divisor; 93% are gone after 1 s.
const STEP_DIVISOR: u64 = 8;

/// Steps after which the rest of the difference doesn't matter.
const STEP_LIMIT: u128 = 128;

/// A report changes only if demand moved by more than this part of it, as a divisor, or by more than a slot.
///
/// Each moved slot is unused for one interval, so parts must not follow noise.
const HOLD_DIVISOR: u64 = 16;

/// Slots that one entry could use, smoothed over 1 s.
///
/// A rise counts at once, because the work is already waiting; a fall decays.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    wanted: u64,
    smooth: u64,
    stepped: Time,
    reported: u64,
}

impl Demand {
    /// Makes a demand of nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes how many requests are running or queued from now on.
    ///
    /// The slots of the zone are divided by this number, so the caller should count no more of a customer than its
    /// contract covers; otherwise a flood at one entry takes the slots of customers at the others.
    pub fn record(&mut self, now: Time, requests: u32) {
        self.advance(now);
        self.wanted = u64::from(requests) * MILLISLOTS_PER_SLOT;
        self.smooth = self.smooth.max(self.wanted);
    }

    /// Returns the value for the next report, in thousandths of a slot.
    pub fn report(&mut self, now: Time) -> u64 {
        self.advance(now);
        let tolerance = (self.reported / HOLD_DIVISOR).max(MILLISLOTS_PER_SLOT);
        let moved = self.reported.abs_diff(self.smooth) > tolerance;
        // An entry that has become idle must not hold on to its last slot's worth of demand.
        if moved || self.smooth < MILLISLOTS_PER_SLOT {
            self.reported = self.smooth;
        }
        self.reported
    }

    fn advance(&mut self, now: Time) {
        let steps = now.since(self.stepped).as_micros() / STEP.as_micros();
        if steps > STEP_LIMIT {
            self.smooth = self.wanted;
            self.stepped = now;
            return;
        }
        for _ in 0..steps {
            let gap = self.smooth - self.wanted;
            self.smooth -= gap.div_ceil(STEP_DIVISOR);
            self.stepped = self.stepped + STEP;
        }
    }
}
