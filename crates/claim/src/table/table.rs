//! Bounded table of the keyed requests of one entry.

use super::{
    Admission,
    Counters,
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

/// Keyed requests of one home zone with their states; none is dropped before its retention is over.
#[derive(Clone, Debug)]
pub struct Table<A> {
    pub(super) limit: Limit,
    pub(super) records: SlotMap<Slot, Record<A>>,
    /// Requests by key.
    pub(super) index: HashMap<Id, Slot>,
    /// Finished requests by the end of their retention.
    pub(super) expirations: BinaryHeap<Reverse<(Time, Slot)>>,
    /// Bytes of the stored answers and the reservations of running requests.
    pub(super) bytes: usize,
    /// Latest time that was passed in, so that a dropped key does not run again after the clock has stepped back.
    pub(super) latest: Time,
    counters: Counters,
}

impl<A: Size> Table<A> {
    /// Creates an empty table and allocates all its memory.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            records: SlotMap::with_capacity_and_key(limit.requests),
            index: HashMap::with_capacity(limit.requests),
            expirations: BinaryHeap::with_capacity(limit.requests),
            bytes: 0,
            latest: Time::MIN,
            counters: Counters::default(),
        }
    }

    /// Returns the number of requests in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether the table has no request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of the stored answers and of the reservations of running requests.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the counters.
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Tells whether the key is in the table; this entry then answers it, even if another one owns it now.
    pub fn contains(&self, id: Id) -> bool {
        self.index.contains_key(&id)
    }

    /// Returns the stored answer of a request, if there is one.
    pub fn answer(&self, slot: Slot) -> Option<&A> {
        match &self.records.get(slot)?.state {
            RequestState::Answered(answer) => Some(answer),
            RequestState::Running(_) | RequestState::Dropped | RequestState::Lost => None,
        }
    }

    /// Decides on a keyed request.
    ///
    /// If the request may run, requests that repeat it will wait for `ticket`. `permit` is called only for a key that
    /// is not in the table; see [`Lease::permit`](crate::lease::Lease::permit).
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
            return self.admit_repeat(slot, fingerprint);
        }
        if id.created() < self.expired_before() {
            return Admission::Refuse(Refusal::unknown(Reason::KeyExpired));
        }
        if let Err(refusal) = permit() {
            return Admission::Refuse(refusal);
        }
        if self.records.len() >= self.limit.requests
            || self.bytes + self.limit.answer_bytes > self.limit.total_bytes
        {
            self.counters.full += 1;
            let mut refusal = Refusal::not_run(Reason::KeyTableFull);
            refusal.retry_after = self.next_expiry();
            return Admission::Refuse(refusal);
        }
        self.bytes += self.limit.answer_bytes;
        self.counters.run += 1;
        let state = RequestState::Running(ticket);
        Admission::Run(self.insert(Record {
            id,
            fingerprint,
            state,
        }))
    }

    /// Stores the answer of a running request; tells whether the slot holds one.
    pub fn finish(&mut self, now: Time, slot: Slot, answer: A) -> bool {
        let size = answer.size();
        let fits = size <= self.limit.answer_bytes;
        let state = if fits {
            RequestState::Answered(answer)
        } else {
            RequestState::Dropped
        };
        self.end_attempt(now, slot, state, if fits { size } else { 0 })
    }

    /// Records that the outcome of a running request is unknown; tells whether the slot holds one.
    pub fn lost(&mut self, now: Time, slot: Slot) -> bool {
        self.end_attempt(now, slot, RequestState::Lost, 0)
    }

    /// Removes a request that certainly did not run, so that its key may run again; tells whether the slot holds a
    /// running request.
    pub fn not_run(&mut self, slot: Slot) -> bool {
        if !self.is_running(slot) {
            return false;
        }
        if let Some(record) = self.records.remove(slot) {
            self.index.remove(&record.id);
            self.bytes -= self.limit.answer_bytes;
        }
        true
    }

    /// Drops the requests whose retention is over.
    pub fn expire(&mut self, now: Time) {
        self.latest = self.latest.max(now);
        while let Some(&Reverse((end, slot))) = self.expirations.peek() {
            if end >= self.latest {
                return;
            }
            self.expirations.pop();
            let Some(record) = self.records.remove(slot) else {
                continue;
            };
            self.index.remove(&record.id);
            self.counters.expired += 1;
            if let RequestState::Answered(answer) = &record.state {
                self.bytes -= answer.size();
            }
        }
    }

    /// Returns the creation time before which keys may have been dropped from the table.
    pub(super) fn expired_before(&self) -> Time {
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
    /// The creation time of a key may lie ahead of the clock, up to the horizon. The key must stay in the table until
    /// it is old enough to be refused.
    pub(super) fn schedule_expiry(&mut self, slot: Slot, id: Id) {
        let end = self.latest.max(id.created()) + self.limit.retention;
        self.expirations.push(Reverse((end, slot)));
    }

    /// Decides on a request whose key is in the table.
    fn admit_repeat(&mut self, slot: Slot, fingerprint: Fingerprint) -> Admission {
        let record = &self.records[slot];
        // The refusal does not depend on the state of the first request, which may be another customer's. "Not run" is
        // true of this request: if the key ran, it ran for the other fingerprint.
        if record.fingerprint != fingerprint {
            self.counters.conflict += 1;
            return Admission::Refuse(Refusal::not_run(Reason::KeyConflict));
        }
        match record.state {
            RequestState::Running(ticket) => {
                self.counters.wait += 1;
                Admission::Wait(ticket)
            }
            RequestState::Answered(_) => {
                self.counters.replay += 1;
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

    fn end_attempt(&mut self, now: Time, slot: Slot, state: RequestState<A>, size: usize) -> bool {
        if !self.is_running(slot) {
            return false;
        }
        self.latest = self.latest.max(now);
        let record = &mut self.records[slot];
        record.state = state;
        let id = record.id;
        self.bytes = self.bytes - self.limit.answer_bytes + size;
        self.schedule_expiry(slot, id);
        true
    }

    /// Returns how long it takes until the next finished request is dropped, if there is one.
    fn next_expiry(&self) -> Option<core::time::Duration> {
        self.expirations
            .peek()
            .map(|Reverse((end, _))| end.since(self.latest))
    }
}
