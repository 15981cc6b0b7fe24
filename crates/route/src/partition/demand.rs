//! Demand of one entry for one pool.

use sassafrascrank_base::prelude::*;

/// Units of demand in one slot: demand is counted in thousandths of a slot.
pub const MILLISLOTS_PER_SLOT: u64 = 1_000;

/// Time between two steps by which the smoothed demand falls.
const DECAY_INTERVAL: Duration = Duration::from_millis(50);

/// Divisor of the difference that one step removes; 93% of it are gone after 1 s.
const DECAY_DIVISOR: u64 = 8;

/// Steps after which the rest of the difference is negligible.
const DECAY_STEP_LIMIT: u128 = 128;

/// A report changes only if the demand moved by more than one slot and by more than the last report divided by this.
///
/// Each slot that moves between entries is unused for one report interval, so quotas must not follow noise.
const REPORT_TOLERANCE_DIVISOR: u64 = 16;

/// Slots that one entry could use, smoothed over 1 s.
///
/// A rise counts at once, because the requests are already waiting; a fall is smoothed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Current demand in thousandths of a slot, like the two below.
    wanted: u64,
    smoothed: u64,
    last_step: Time,
    reported: u64,
}

impl Demand {
    /// Creates a demand of 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how many requests are running or queued from now on.
    ///
    /// The slots of the zone are divided by this number. The caller should count no more requests of a customer than
    /// its contract covers; otherwise a flood at one entry takes the slots of customers at the others.
    pub fn record(&mut self, now: Time, requests: u32) {
        self.advance(now);
        self.wanted = u64::from(requests) * MILLISLOTS_PER_SLOT;
        self.smoothed = self.smoothed.max(self.wanted);
    }

    /// Returns the demand for the next report, in thousandths of a slot.
    pub fn report(&mut self, now: Time) -> u64 {
        self.advance(now);
        let tolerance = (self.reported / REPORT_TOLERANCE_DIVISOR).max(MILLISLOTS_PER_SLOT);
        let moved = self.reported.abs_diff(self.smoothed) > tolerance;
        // An entry that has become idle must not keep reporting its last slot of demand.
        if moved || self.smoothed < MILLISLOTS_PER_SLOT {
            self.reported = self.smoothed;
        }
        self.reported
    }

    fn advance(&mut self, now: Time) {
        let steps = now.since(self.last_step).as_micros() / DECAY_INTERVAL.as_micros();
        if steps > DECAY_STEP_LIMIT {
            self.smoothed = self.wanted;
            self.last_step = now;
            return;
        }
        for _ in 0..steps {
            let gap = self.smoothed - self.wanted;
            self.smoothed -= gap.div_ceil(DECAY_DIVISOR);
            self.last_step = self.last_step + DECAY_INTERVAL;
        }
    }
}
