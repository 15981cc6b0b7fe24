//! A part of an upstream's slots that takes effect without overlap.

use sassafrascrank_base::prelude::*;

/// Time between two reports of an entry.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Most steps of growth that wait at once; a further step waits for the next call.
const STEP_LIMIT: usize = 4;

/// Slots of one upstream that this entry uses, and growth that has to wait.
///
/// The part is the lowest target of the last report interval: it shrinks at once, and it grows only after the
/// entries that lose the slots have had one interval to hear of it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quota {
    slots: u32,
    /// Targets above the part, rising, each with the time since which no lower one was seen.
    steps: [(u32, Time); STEP_LIMIT],
    len: usize,
}

impl Quota {
    /// Starts with slots that are in force at once.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            ..Self::default()
        }
    }

    /// Returns the slots in force.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Takes the present target and returns the slots in force.
    pub fn set_target(&mut self, now: Time, target: u32) -> u32 {
        self.ripen(now);
        if target <= self.slots {
            self.slots = target;
            self.len = 0;
            return self.slots;
        }
        self.push(now, target);
        self.slots
    }

    /// Puts those steps into force that have waited for one interval.
    fn ripen(&mut self, now: Time) {
        let waiting = &self.steps[..self.len];
        let ripe = waiting.partition_point(|(_, since)| now.since(*since) >= REPORT_INTERVAL);
        if ripe == 0 {
            return;
        }
        self.slots = self.steps[ripe - 1].0;
        self.steps.copy_within(ripe..self.len, 0);
        self.len -= ripe;
    }

    fn push(&mut self, now: Time, target: u32) {
        let lower = self.steps[..self.len].partition_point(|(slots, _)| *slots < target);
        if lower < self.len {
            // The lowest of the higher targets has been wanted for longest, so its time holds for the new target.
            self.steps[lower].0 = target;
            self.len = lower + 1;
            return;
        }
        if self.len < STEP_LIMIT {
            self.steps[self.len] = (target, now);
            self.len += 1;
        }
    }
}
