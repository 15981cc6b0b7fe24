//! Fences against earlier owners of a key.
//!
//! A fence is the creation time up to which an earlier owner may have run a key, so that this entry must not run it.
//! The join of this entry sets one fence for all keys, and each later departure sets one for the keys that moved.

use crate::member::Entry;
use sassafrascrank_base::prelude::Time;

/// Number of departures with a fence of their own.
///
/// Beyond it, the oldest fence is merged into one for all keys, which refuses more keys than needed but is safe. At 170
/// restarts a day, 2 fall into the retention of 10 min; 64 leaves room for the loss of a rack during a wave.
pub const DEPARTURE_LIMIT: usize = 64;

#[derive(Clone, Debug, Default)]
pub(super) struct Fences {
    /// Entries that departed after the join of this one with their fences, in the order of the departures.
    departures: Vec<(Entry, Time)>,
    /// Highest fence of the departures that were removed from `departures`.
    merged: Time,
    /// Members before the join of this entry, each with the fence of its handover once that has arrived.
    predecessors: Vec<(Entry, Option<Time>)>,
}

impl Fences {
    pub(super) const fn new() -> Self {
        Self {
            departures: Vec::new(),
            merged: Time::MIN,
            predecessors: Vec::new(),
        }
    }

    pub(super) fn add_departure(&mut self, entry: Entry, fence: Time) {
        if self.departures.len() >= DEPARTURE_LIMIT {
            let (_, oldest) = self.departures.remove(0);
            self.merged = self.merged.max(oldest);
        }
        self.departures.push((entry, fence));
    }

    pub(super) fn set_predecessors(&mut self, members: impl Iterator<Item = Entry>) {
        self.predecessors = members.map(|entry| (entry, None)).collect();
    }

    pub(super) fn clear_predecessors(&mut self) {
        self.predecessors.clear();
    }

    pub(super) fn has_departure(&self, entry: &Entry) -> bool {
        self.departures
            .iter()
            .any(|(departed, _)| departed == entry)
    }

    pub(super) fn has_predecessor(&self, entry: &Entry) -> bool {
        self.predecessors.iter().any(|(member, _)| member == entry)
    }

    /// Lowers the fence against an entry that departed and handed over.
    pub(super) fn lower_departure(&mut self, entry: &Entry, fence: Time) {
        if let Some(departure) = self
            .departures
            .iter_mut()
            .find(|(departed, _)| departed == entry)
        {
            departure.1 = departure.1.min(fence);
        }
    }

    /// Replaces the fence of the join for the keys that moved from a member that handed over.
    pub(super) fn lower_predecessor(&mut self, entry: &Entry, fence: Time) {
        if let Some(known) = self
            .predecessors
            .iter_mut()
            .find(|(member, _)| member == entry)
        {
            known.1 = Some(known.1.map_or(fence, |old| old.min(fence)));
        }
    }

    /// Returns the fence for the key with this hash.
    pub(super) fn for_key(&self, me: &Entry, hash: u64, join_fence: Time) -> Time {
        let own = me.score(hash);
        // A departed entry with a lower score never owned the key while this entry was a member. Equal scores count
        // as moved, which may refuse a key without need but is safe.
        let moved = self
            .departures
            .iter()
            .filter(|(departed, _)| departed.score(hash) >= own);
        let moved = moved.map(|(_, fence)| *fence).max().unwrap_or(Time::MIN);
        let predecessors = self.predecessors.iter();
        let last_owner = predecessors.max_by_key(|(member, _)| (member.score(hash), member));
        let base = last_owner
            .and_then(|(_, fence)| *fence)
            .map_or(join_fence, |fence| fence.min(join_fence));
        base.max(moved).max(self.merged)
    }

    /// Returns a fence that is at least as high as the one of any key.
    pub(super) fn highest(&self, join_fence: Time) -> Time {
        let handed_over = self
            .predecessors
            .iter()
            .map(|(_, fence)| fence.map_or(join_fence, |fence| fence.min(join_fence)));
        let base = handed_over.max().unwrap_or(join_fence);
        let moved = self.departures.iter().map(|(_, fence)| *fence).max();
        base.max(moved.unwrap_or(Time::MIN)).max(self.merged)
    }
}
