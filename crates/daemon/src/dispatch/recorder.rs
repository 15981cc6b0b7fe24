//! Events about the requests of this process.

use sassafrascrank_base::prelude::*;
use sassafrascrank_dispatch::{
    Arrival,
    Decision, //
};
use sassafrascrank_observe::event::{
    Event,
    Kind,
    Sink,
    request, //
};
use sassafrascrank_route::AttemptResult;
use slotmap::SecondaryMap;

/// Records an event for each step of a request.
#[derive(Debug)]
pub(super) struct Recorder {
    sink: Sink,
    /// Requests that wait for a decision or an answer, by exchange thread.
    requests: Vec<SecondaryMap<caller::Key, Request>>,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    id: request::Id,
    customer: customer::Key,
    pool: pool::Key,
    class: class::Index,
    /// Latest time at which it arrived, got its slot, or had an attempt fail.
    since: Time,
    attempts: u64,
}

impl Request {
    fn event(&self, event: Event) -> Event {
        event
            .request(self.id)
            .customer(self.customer)
            .pool(self.pool)
            .class(self.class)
    }
}

impl Recorder {
    pub(super) fn new(sink: Sink, threads: u8) -> Self {
        Self {
            sink,
            requests: (0..threads).map(|_| SecondaryMap::new()).collect(),
        }
    }

    /// Records an event that concerns no request.
    pub(super) fn record(&mut self, event: Event) {
        self.sink.record(event);
    }

    pub(super) fn arrived(&mut self, now: Time, id: request::Id, arrival: &Arrival) {
        let request = Request {
            id,
            customer: arrival.customer,
            pool: arrival.pool,
            class: arrival.class,
            since: now,
            attempts: 0,
        };
        self.sink
            .record(request.event(Event::new(now, Kind::Arrived)));
        if let Some(requests) = self.requests.get_mut(usize::from(arrival.caller.thread)) {
            requests.insert(arrival.caller.key, request);
        }
    }

    pub(super) fn decided(&mut self, now: Time, decision: &Decision) {
        match *decision {
            Decision::Forward { caller, target, .. } => self.granted(now, caller, target.upstream),
            Decision::Refuse { caller, refusal } => self.refused(now, caller, &refusal),
        }
    }

    pub(super) fn refused(&mut self, now: Time, caller: caller::Handle, refusal: &Refusal) {
        if let Some(request) = self.remove(caller) {
            self.sink
                .record(request.event(Event::refused(now, refusal)));
        }
    }

    /// Records that the request was forwarded to the entry that owns its key.
    pub(super) fn forwarded(&mut self, now: Time, caller: caller::Handle) {
        if let Some(request) = self.remove(caller) {
            self.sink
                .record(request.event(Event::new(now, Kind::Forwarded)));
        }
    }

    /// Records that the request got the answer of an earlier one with the same key.
    pub(super) fn replayed(&mut self, now: Time, caller: caller::Handle) {
        if let Some(request) = self.remove(caller) {
            self.sink
                .record(request.event(Event::answered(now, Duration::ZERO)));
        }
    }

    pub(super) fn finished(&mut self, now: Time, caller: caller::Handle, result: AttemptResult) {
        match result {
            AttemptResult::Answered(_) | AttemptResult::Failed(_) => {
                if let Some(request) = self.remove(caller) {
                    let service = now.since(request.since);
                    self.sink
                        .record(request.event(Event::answered(now, service)));
                }
            }
            AttemptResult::Cancelled => self.cancelled(now, caller),
            AttemptResult::Unreachable | AttemptResult::Stale => {
                self.attempt_failed(now, caller, Reason::ConnectFailed);
            }
            AttemptResult::Lost => self.attempt_failed(now, caller, Reason::ConnectionLost),
            AttemptResult::TimedOut => self.attempt_failed(now, caller, Reason::AttemptTimeout),
        }
    }

    pub(super) fn cancelled(&mut self, now: Time, caller: caller::Handle) {
        if let Some(request) = self.remove(caller) {
            self.sink
                .record(request.event(Event::new(now, Kind::Cancelled)));
        }
    }

    fn granted(&mut self, now: Time, caller: caller::Handle, upstream: upstream::Key) {
        let Some(request) = Self::find(&mut self.requests, caller) else {
            return;
        };
        let wait = now.since(request.since);
        request.since = now;
        let kind = match request.attempts {
            0 => Kind::Granted,
            _ => Kind::Retried,
        };
        let event = Event::new(now, kind).duration(wait).upstream(upstream);
        self.sink.record(request.event(event));
    }

    fn attempt_failed(&mut self, now: Time, caller: caller::Handle, reason: Reason) {
        let Some(request) = Self::find(&mut self.requests, caller) else {
            return;
        };
        request.since = now;
        request.attempts += 1;
        let event = Event::attempt_failed(now, reason).detail(request.attempts);
        self.sink.record(request.event(event));
    }

    fn find(
        requests: &mut [SecondaryMap<caller::Key, Request>],
        caller: caller::Handle,
    ) -> Option<&mut Request> {
        requests
            .get_mut(usize::from(caller.thread))?
            .get_mut(caller.key)
    }

    fn remove(&mut self, caller: caller::Handle) -> Option<Request> {
        self.requests
            .get_mut(usize::from(caller.thread))?
            .remove(caller.key)
    }
}
