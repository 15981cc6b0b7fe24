//! Requests that may run only once: who runs them, who waits, what is remembered.

use crate::peer::{
    kept,
    stored, //
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
pub(super) struct Keyed {
    pub(super) lease: Lease,
    zone: Name,
    table: Table<Kept>,
    runs: SlotMap<ticket::Key, Run>,
    /// Runs by the caller that started them, by exchange thread.
    owners: Vec<SecondaryMap<caller::Key, ticket::Key>>,
    /// Listeners for callers of the other entries, as they reported them.
    listeners: BTreeMap<Entry, SocketAddr>,
}

/// A running request.
#[derive(Debug, Default)]
struct Run {
    slot: Slot,
    /// Callers that repeated its key; each has a place in the arena of its exchange thread, which bounds them.
    repeats: Vec<caller::Handle>,
}

/// An answer that is kept for repeats.
#[derive(Clone, Debug)]
pub(super) struct Kept(pub(super) Arc<Answer>);

impl Size for Kept {
    fn size(&self) -> usize {
        self.0.size()
    }
}

/// What to do with a keyed request that has arrived.
#[derive(Debug)]
pub(super) enum Verdict {
    /// Run it.
    Run,
    /// Leave it waiting for the request that runs with its key.
    Wait,
    /// Give it the answer of an earlier request.
    Replay(Arc<Answer>),
    /// Pass it on to the entry that owns its key.
    Redirect(SocketAddr),
    /// Refuse it.
    Refuse(Refusal),
}

impl Keyed {
    pub(super) fn new(lease: Lease, zone: Name, limit: Limit, threads: u8) -> Self {
        Self {
            lease,
            zone,
            table: Table::new(limit),
            runs: SlotMap::with_key(),
            owners: (0..threads).map(|_| SecondaryMap::new()).collect(),
            listeners: BTreeMap::new(),
        }
    }

    /// Makes a new lease after this entry was retired while it was alive, and returns its new identity.
    ///
    /// What the table remembers stays true; the new lease decides on keys that it does not remember.
    pub(super) fn renew(&mut self, now: Time) -> Entry {
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

    /// Decides on a keyed request.
    pub(super) fn arrive(
        &mut self,
        now: Time,
        caller: caller::Handle,
        request: &Idempotency,
    ) -> Verdict {
        let key = &request.key;
        let known = self.table.contains(key.id());
        if !known
            && !request.forwarded
            && let Route::Forward(owner) = self.lease.route(key)
        {
            return match self.listeners.get(owner) {
                Some(address) => Verdict::Redirect(*address),
                None => Verdict::Refuse(Refusal::unknown(Reason::OwnerUnreachable)),
            };
        }
        let ticket = self.runs.insert(Run::default());
        let lease = &self.lease;
        let fingerprint = Fingerprint(request.fingerprint);
        let permit = || lease.permit(now, key);
        let begin = self.table.begin(now, key.id(), fingerprint, ticket, permit);
        if let Admission::Run(slot) = begin {
            self.start(ticket, slot, caller);
            return Verdict::Run;
        }
        self.runs.remove(ticket);
        match begin {
            Admission::Wait(ticket) => self.wait(ticket, caller),
            Admission::Replay(slot) => match self.table.answer(slot) {
                Some(answer) => Verdict::Replay(answer.0.clone()),
                None => Verdict::Refuse(Refusal::unknown(Reason::ConnectionLost)),
            },
            Admission::Run(_) => Verdict::Run,
            Admission::Refuse(refusal) => Verdict::Refuse(refusal),
        }
    }

    /// Stores the answer of a request; returns the callers that wait for it.
    pub(super) fn answered(
        &mut self,
        now: Time,
        caller: caller::Handle,
        answer: Arc<Answer>,
    ) -> Vec<caller::Handle> {
        let Some(run) = self.end(caller) else {
            return Vec::new();
        };
        self.table.finish(now, run.slot, Kept(answer));
        run.repeats
    }

    /// Takes note that a request ended without an answer; returns the callers that wait for it.
    pub(super) fn refused(
        &mut self,
        now: Time,
        caller: caller::Handle,
        outcome: Outcome,
    ) -> Vec<caller::Handle> {
        let Some(run) = self.end(caller) else {
            return Vec::new();
        };
        match outcome {
            Outcome::NotRun => self.table.not_run(run.slot),
            Outcome::Answered | Outcome::Unknown => self.table.lost(now, run.slot),
        };
        run.repeats
    }

    /// Returns what `to` needs to know of the keys that moved to it, if this entry owes it anything.
    pub(super) fn export(&self, to: &Entry) -> Option<Handover> {
        let handover = self.table.export(&self.lease, to)?;
        let items = handover.items.into_iter().map(|item| table::Item {
            id: item.id,
            fingerprint: item.fingerprint,
            state: convert(item.state, |kept| stored(&kept.0)),
        });
        Some(table::Handover {
            from: handover.from,
            to: handover.to,
            departed: handover.departed,
            floor: handover.floor,
            items: items.collect(),
        })
    }

    /// Takes over the outcomes of keys that moved to this entry.
    pub(super) fn accept(&mut self, now: Time, handover: Handover) -> Result<(), table::Error> {
        let items = handover.items.into_iter().map(|item| table::Item {
            id: item.id,
            fingerprint: item.fingerprint,
            state: convert(item.state, |stored| Kept(Arc::new(kept(stored)))),
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

    /// Takes note of where another entry listens for callers.
    pub(super) fn learn_listener(&mut self, entry: Entry, address: SocketAddr) {
        self.listeners.insert(entry, address);
    }

    /// Forgets the listeners of entries that are no longer members.
    pub(super) fn forget_listeners(&mut self) {
        let view = self.lease.view();
        self.listeners
            .retain(|entry, _| view.zone_of(entry).is_some());
    }

    /// Drops outcomes whose time is over.
    pub(super) fn expire(&mut self, now: Time) {
        self.table.expire(now);
    }

    fn start(&mut self, ticket: ticket::Key, slot: Slot, caller: caller::Handle) {
        if let Some(run) = self.runs.get_mut(ticket) {
            run.slot = slot;
        }
        if let Some(owners) = self.owners.get_mut(usize::from(caller.thread)) {
            owners.insert(caller.key, ticket);
        }
    }

    fn wait(&mut self, ticket: ticket::Key, caller: caller::Handle) -> Verdict {
        match self.runs.get_mut(ticket) {
            Some(run) => {
                run.repeats.push(caller);
                Verdict::Wait
            }
            None => Verdict::Refuse(Refusal::unknown(Reason::ConnectionLost)),
        }
    }

    fn end(&mut self, caller: caller::Handle) -> Option<Run> {
        let owners = self.owners.get_mut(usize::from(caller.thread))?;
        let ticket = owners.remove(caller.key)?;
        self.runs.remove(ticket)
    }
}

fn convert<A, B>(state: RequestState<A>, answer: impl FnOnce(A) -> B) -> RequestState<B> {
    match state {
        RequestState::Running(ticket) => RequestState::Running(ticket),
        RequestState::Answered(it) => RequestState::Answered(answer(it)),
        RequestState::Dropped => RequestState::Dropped,
        RequestState::Lost => RequestState::Lost,
    }
}
