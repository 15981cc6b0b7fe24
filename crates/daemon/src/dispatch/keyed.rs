//! Requests with an idempotency key, each of which may run only once: running requests, waiting callers and stored
//! answers.

use crate::peer::{
    from_stored,
    to_stored, //
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::{
    lease::{
        self,
        Lease,
        Route, //
    },
    member::{
        Entry,
        Fold, //
    },
    table::{
        self,
        Admission,
        Fingerprint,
        Limit,
        RequestState,
        Size,
        Slot,
        Table, //
    },
};
use sassafrascrank_exchange::message::{
    Answer,
    Idempotency, //
};
use sassafrascrank_peer::message::Handover;
use slotmap::{
    SecondaryMap,
    SlotMap, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

/// Table of keyed requests and the callers that wait for a running one.
#[derive(Debug)]
pub(super) struct KeyedRequests {
    pub(super) lease: Lease,
    zone: Name,
    table: Table<StoredAnswer>,
    runs: SlotMap<ticket::Key, Run>,
    /// Tickets of running requests by the caller that started them; one map for each exchange thread.
    tickets: Vec<SecondaryMap<caller::Key, ticket::Key>>,
    /// Addresses at which the other entries listen for callers, as they reported them.
    listeners: BTreeMap<Entry, SocketAddr>,
}

/// A running request.
#[derive(Debug, Default)]
struct Run {
    slot: Slot,
    /// Callers that repeated its key. The arenas of the exchange threads bound their number.
    repeats: Vec<caller::Handle>,
}

/// An answer that is stored for repeats of its request.
#[derive(Clone, Debug)]
pub(super) struct StoredAnswer(pub(super) Arc<Answer>);

impl Size for StoredAnswer {
    fn size(&self) -> usize {
        self.0.size()
    }
}

/// What to do with a keyed request that has arrived.
#[derive(Debug)]
pub(super) enum Action {
    /// Run the request.
    Run,
    /// Let the caller wait for the running request with the same key.
    Wait,
    /// Return the answer of an earlier request with the same key.
    Replay(Arc<Answer>),
    /// Forward the request to the entry that owns its key.
    Forward(SocketAddr),
    /// Refuse the request.
    Refuse(Refusal),
}

impl KeyedRequests {
    pub(super) fn new(lease: Lease, zone: Name, limit: Limit, threads: u8) -> Self {
        Self {
            lease,
            zone,
            table: Table::new(limit),
            runs: SlotMap::with_key(),
            tickets: (0..threads).map(|_| SecondaryMap::new()).collect(),
            listeners: BTreeMap::new(),
        }
    }

    /// Replaces the lease after peers retired this entry while it was alive, and returns its new identity.
    ///
    /// Outcomes in the table stay valid; the new lease decides on keys that the table does not hold.
    pub(super) fn renew_lease(&mut self, now: Time) -> Entry {
        let former = self.lease.me();
        let entry = Entry {
            host: former.host.clone(),
            incarnation: now.as_millis().max(former.incarnation + 1),
        };
        let mut fold = Fold::default();
        fold.import(self.lease.view().clone());
        let limit = lease::Limit::default();
        self.lease = Lease::new(entry.clone(), self.zone.clone(), limit, fold);
        entry
    }

    /// Decides what to do with a keyed request.
    pub(super) fn arrive(
        &mut self,
        now: Time,
        caller: caller::Handle,
        request: &Idempotency,
    ) -> Action {
        let key = &request.key;
        let known = self.table.contains(key.id());
        if !known
            && !request.forwarded
            && let Route::Forward(owner) = self.lease.route(key)
        {
            return match self.listeners.get(owner) {
                Some(address) => Action::Forward(*address),
                None => Action::Refuse(Refusal::unknown(Reason::OwnerUnreachable)),
            };
        }
        let ticket = self.runs.insert(Run::default());
        let lease = &self.lease;
        let fingerprint = Fingerprint(request.fingerprint);
        let permit = || lease.permit(now, key);
        let begin = self.table.begin(now, key.id(), fingerprint, ticket, permit);
        if let Admission::Run(slot) = begin {
            self.start_run(ticket, slot, caller);
            return Action::Run;
        }
        self.runs.remove(ticket);
        match begin {
            Admission::Wait(ticket) => self.wait_for_run(ticket, caller),
            Admission::Replay(slot) => match self.table.answer(slot) {
                Some(answer) => Action::Replay(answer.0.clone()),
                None => Action::Refuse(Refusal::unknown(Reason::ConnectionLost)),
            },
            Admission::Run(_) => Action::Run,
            Admission::Refuse(refusal) => Action::Refuse(refusal),
        }
    }

    /// Stores the answer of a request; returns the callers that wait for it.
    pub(super) fn finish_with_answer(
        &mut self,
        now: Time,
        caller: caller::Handle,
        answer: Arc<Answer>,
    ) -> Vec<caller::Handle> {
        let Some(run) = self.remove_run(caller) else {
            return Vec::new();
        };
        self.table.finish(now, run.slot, StoredAnswer(answer));
        run.repeats
    }

    /// Records that a request ended without an answer; returns the callers that wait for it.
    pub(super) fn finish_without_answer(
        &mut self,
        now: Time,
        caller: caller::Handle,
        outcome: Outcome,
    ) -> Vec<caller::Handle> {
        let Some(run) = self.remove_run(caller) else {
            return Vec::new();
        };
        match outcome {
            Outcome::NotRun => self.table.not_run(run.slot),
            Outcome::Answered | Outcome::Unknown => self.table.lost(now, run.slot),
        };
        run.repeats
    }

    /// Returns the outcomes of keys that moved to the entry `to`, or `None` if there are none to hand over.
    pub(super) fn export(&self, to: &Entry) -> Option<Handover> {
        let handover = self.table.export(&self.lease, to)?;
        let items = handover.items.into_iter().map(|item| table::Item {
            id: item.id,
            fingerprint: item.fingerprint,
            state: map_answer(item.state, |answer| to_stored(&answer.0)),
        });
        Some(table::Handover {
            from: handover.from,
            to: handover.to,
            departed: handover.departed,
            floor: handover.floor,
            items: items.collect(),
        })
    }

    /// Adds the outcomes of keys that moved to this entry.
    ///
    /// # Errors
    ///
    /// Fails if the table rejects the handover.
    pub(super) fn accept(&mut self, now: Time, handover: Handover) -> Result<(), table::Error> {
        let items = handover.items.into_iter().map(|item| table::Item {
            id: item.id,
            fingerprint: item.fingerprint,
            state: map_answer(item.state, |stored| {
                StoredAnswer(Arc::new(from_stored(stored)))
            }),
        });
        let handover = table::Handover {
            from: handover.from,
            to: handover.to,
            departed: handover.departed,
            floor: handover.floor,
            items: items.collect(),
        };
        self.table.accept(now, &mut self.lease, handover).map(drop)
    }

    /// Stores the address at which another entry listens for callers.
    pub(super) fn set_listener(&mut self, entry: Entry, address: SocketAddr) {
        self.listeners.insert(entry, address);
    }

    /// Removes the listeners of entries that are no longer members.
    pub(super) fn remove_stale_listeners(&mut self) {
        let view = self.lease.view();
        self.listeners
            .retain(|entry, _| view.zone_of(entry).is_some());
    }

    /// Drops outcomes that have expired.
    pub(super) fn expire(&mut self, now: Time) {
        self.table.expire(now);
    }

    fn start_run(&mut self, ticket: ticket::Key, slot: Slot, caller: caller::Handle) {
        if let Some(run) = self.runs.get_mut(ticket) {
            run.slot = slot;
        }
        if let Some(tickets) = self.tickets.get_mut(usize::from(caller.thread)) {
            tickets.insert(caller.key, ticket);
        }
    }

    fn wait_for_run(&mut self, ticket: ticket::Key, caller: caller::Handle) -> Action {
        match self.runs.get_mut(ticket) {
            Some(run) => {
                run.repeats.push(caller);
                Action::Wait
            }
            None => Action::Refuse(Refusal::unknown(Reason::ConnectionLost)),
        }
    }

    fn remove_run(&mut self, caller: caller::Handle) -> Option<Run> {
        let tickets = self.tickets.get_mut(usize::from(caller.thread))?;
        let ticket = tickets.remove(caller.key)?;
        self.runs.remove(ticket)
    }
}

fn map_answer<A, B>(state: RequestState<A>, answer: impl FnOnce(A) -> B) -> RequestState<B> {
    match state {
        RequestState::Running(ticket) => RequestState::Running(ticket),
        RequestState::Answered(it) => RequestState::Answered(answer(it)),
        RequestState::Dropped => RequestState::Dropped,
        RequestState::Lost => RequestState::Lost,
    }
}
