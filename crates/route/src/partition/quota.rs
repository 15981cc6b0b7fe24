//! Quota of one entry at one upstream, which grows only after others have given up the slots.

use sassafrascrank_base::prelude::*;

/// Time between two reports of an entry.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Most increases that wait at once; a further one is taken up by a later call.
const PENDING_LIMIT: usize = 4;

/// Slots of one upstream that this entry may use, and increases that have to wait.
///
/// The quota is the lowest target of the last report interval. It shrinks at once, and it grows only after the entries
/// that lose the slots have had one interval to learn of it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quota {
    slots: u32,
    /// Targets above the quota in ascending order, each with the time since which no lower target was set.
    pending: [(u32, Time); PENDING_LIMIT],
    len: usize,
}

impl Quota {
    /// Creates a quota of `slots` that is in force at once.
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

    /// Sets the current target and returns the slots in force; due at least once in each report interval.
    pub fn set_target(&mut self, now: Time, target: u32) -> u32 {
        self.apply_due(now);
        if target <= self.slots {
            self.slots = target;
            self.len = 0;
            return self.slots;
        }
        self.add_pending(now, target);
        self.slots
    }

    /// Puts those increases into force that have waited for one interval.
    fn apply_due(&mut self, now: Time) {
        let waiting = &self.pending[..self.len];
        let due = waiting.partition_point(|(_, since)| now.since(*since) >= REPORT_INTERVAL);
        if due == 0 {
            return;
        }
        self.slots = self.pending[due - 1].0;
        self.pending.copy_within(due..self.len, 0);
        self.len -= due;
    }

    fn add_pending(&mut self, now: Time, target: u32) {
        let lower = self.pending[..self.len].partition_point(|(slots, _)| *slots < target);
        if lower < self.len {
            // Since the time of the lowest higher target, no target was lower than it, so that time holds for the new
            // target, too.
            self.pending[lower].0 = target;
            self.len = lower + 1;
            return;
        }
        if self.len < PENDING_LIMIT {
            self.pending[self.len] = (target, now);
            self.len += 1;
        }
    }
}
