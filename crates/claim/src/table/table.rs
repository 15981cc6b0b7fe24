//! The bounded table of keyed requests of one entry.

use super::{
    Admission,
    Count,
    Fingerprint,
    Limit,
    RequestState,
    Size,
    Slot, //
};
use crate::key::Id;
use core::cmp::Reverse;
use sassafrascrank_base::prelude::{
    Outcome,
    Reason,
    Refusal,
    Time,
    ticket, //
};
use slotmap::SlotMap;
use std::collections::{
    BinaryHeap,
    HashMap, //
};

#[derive(Clone, Debug)]
pub(super) struct Record<A> {
    pub(super) id: Id,
    pub(super) fingerprint: Fingerprint,
    pub(super) state: RequestState<A>,
}

/// Keyed requests of one home zone and their outcomes; nothing is evicted before its time.
#[derive(Clone, Debug)]
pub struct Table<A> {
    pub(super) limit: Limit,
    pub(super) records: SlotMap<Slot, Record<A>>,
    pub(super) index: HashMap<Id, Slot>,
    /// Finished requests by the time at which they are dropped.
    pub(super) ends: BinaryHeap<Reverse<(Time, Slot)>>,
    /// Stored bytes and the reservations of running requests.
    pub(super) bytes: usize,
    /// Latest present time that was seen, so that a clock that steps back brings no dropped key to life.
    pub(super) latest: Time,
    count: Count,
}

impl<A: Size> Table<A> {
    /// Makes an empty table with all its room.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            records: SlotMap::with_capacity_and_key(limit.count),
            index: HashMap::with_capacity(limit.count),
            ends: BinaryHeap::with_capacity(limit.count),
            bytes: 0,
            latest: Time::MIN,
            count: Count::default(),
        }
    }

    /// Returns the number of remembered requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the stored bytes and the reservations of running requests.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the counters.
    pub const fn count(&self) -> Count {
        self.count
    }

    /// Tells whether the key is remembered, so that this entry answers it even if another one owns it now.
    pub fn contains(&self, id: Id) -> bool {
        self.index.contains_key(&id)
    }

    /// Returns a stored answer.
    pub fn answer(&self, slot: Slot) -> Option<&A> {
        match &self.records.get(slot)?.state {
            RequestState::Answered(answer) => Some(answer),
            RequestState::Running(_) | RequestState::Dropped | RequestState::Lost => None,
        }
    }

    /// Decides on a keyed request.
    ///
    /// `ticket` is given to repeats if the request runs. `permit` is asked only for a key that is not remembered; see
    /// [`Lease::permit`](crate::lease::Lease::permit).
    pub fn begin(
        &mut self,
        now: Time,
        id: Id,
        fingerprint: Fingerprint,
        ticket: ticket::Key,
        permit: impl FnOnce() -> Result<(), Refusal>,
    ) -> Admission {
        self.expire(now);
        if let Some(&slot) = self.index.get(&id) {
            return self.repeat(slot, fingerprint);
        }
        if id.created() < self.forgotten() {
            return Admission::Refuse(Refusal::unknown(Reason::KeyExpired));
        }
        if let Err(refusal) = permit() {
            return Admission::Refuse(refusal);
        }
        if self.records.len() >= self.limit.count
            || self.bytes + self.limit.answer > self.limit.bytes
        {
            self.count.full += 1;
            let mut refusal = Refusal::not_run(Reason::KeyTableFull);
            refusal.retry_after = self.room_in();
            return Admission::Refuse(refusal);
        }
        self.bytes += self.limit.answer;
        self.count.run += 1;
        let state = RequestState::Running(ticket);
        Admission::Run(self.insert(Record {
            id,
            fingerprint,
            state,
        }))
    }

    /// Stores the answer of a running request; returns whether there is one under the slot.
    pub fn finish(&mut self, now: Time, slot: Slot, answer: A) -> bool {
        let size = answer.size();
        let kept = size <= self.limit.answer;
        let state = if kept {
            RequestState::Answered(answer)
        } else {
            RequestState::Dropped
        };
        self.end(now, slot, state, if kept { size } else { 0 })
    }

    /// Records that the outcome of a running request is not known; returns whether there is one under the slot.
    pub fn lost(&mut self, now: Time, slot: Slot) -> bool {
        self.end(now, slot, RequestState::Lost, 0)
    }

    /// Forgets a running request that certainly did not run, so that its key may run again; returns whether there is
    /// one under the slot.
    pub fn not_run(&mut self, slot: Slot) -> bool {
        if !self.is_running(slot) {
            return false;
        }
        if let Some(record) = self.records.remove(slot) {
            self.index.remove(&record.id);
            self.bytes -= self.limit.answer;
        }
        true
    }

    /// Drops the outcomes whose retention is over.
    pub fn expire(&mut self, now: Time) {
        self.latest = self.latest.max(now);
        while let Some(&Reverse((end, slot))) = self.ends.peek() {
            if end >= self.latest {
                return;
            }
            self.ends.pop();
            let Some(record) = self.records.remove(slot) else {
                continue;
            };
            self.index.remove(&record.id);
            self.count.expired += 1;
            if let RequestState::Answered(answer) = &record.state {
                self.bytes -= answer.size();
            }
        }
    }

    /// Returns the creation time before which keys may have been forgotten.
    pub(super) fn forgotten(&self) -> Time {
        self.latest - self.limit.retention
    }

    pub(super) fn insert(&mut self, record: Record<A>) -> Slot {
        let id = record.id;
        let slot = self.records.insert(record);
        self.index.insert(id, slot);
        slot
    }

    /// Keeps a finished request for the retention after its end and after its creation.
    ///
    /// A key may be created up to the horizon ahead of the present, and must stay remembered until it is refused for
    /// its age.
    pub(super) fn keep(&mut self, slot: Slot, id: Id) {
        let end = self.latest.max(id.created()) + self.limit.retention;
        self.ends.push(Reverse((end, slot)));
    }

    fn repeat(&mut self, slot: Slot, fingerprint: Fingerprint) -> Admission {
        let record = &self.records[slot];
        // The refusal is the same whatever became of the first request, since it may be another customer's. This
        // request did not run: the key ran at most once, for the other fingerprint.
        if record.fingerprint != fingerprint {
            self.count.conflict += 1;
            return Admission::Refuse(Refusal::not_run(Reason::KeyConflict));
        }
        match record.state {
            RequestState::Running(ticket) => {
                self.count.wait += 1;
                Admission::Wait(ticket)
            }
            RequestState::Answered(_) => {
                self.count.replay += 1;
                Admission::Replay(slot)
            }
            RequestState::Dropped => Admission::Refuse(Refusal {
                outcome: Outcome::Answered,
                reason: Reason::AnswerDropped,
                retry_after: None,
            }),
            RequestState::Lost => Admission::Refuse(Refusal::unknown(Reason::ConnectionLost)),
        }
    }

    fn is_running(&self, slot: Slot) -> bool {
        let record = self.records.get(slot);
        record.is_some_and(|record| matches!(record.state, RequestState::Running(_)))
    }

    fn end(&mut self, now: Time, slot: Slot, state: RequestState<A>, size: usize) -> bool {
        if !self.is_running(slot) {
            return false;
        }
        self.latest = self.latest.max(now);
        let record = &mut self.records[slot];
        record.state = state;
        let id = record.id;
        self.bytes = self.bytes - self.limit.answer + size;
        self.keep(slot, id);
        true
    }

    /// Returns how long it takes until the next outcome is dropped, if one is waiting for that.
    fn room_in(&self) -> Option<core::time::Duration> {
        self.ends
            .peek()
            .map(|Reverse((end, _))| end.since(self.latest))
    }
}
