//! Bodies and connections of the front thread, within its budget.

use super::budget::{
    BODY_LIMIT_BYTES,
    Budget,
    Key,
    Limits,
    Origin,
    Refused,
    body_deadline, //
};
use crate::{
    clock::Clock,
    port::{
        Problem,
        Reply, //
    },
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{
    Body,
    Incoming, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_trace::{
    Event,
    Sink,
    Value, //
};
use slotmap::SecondaryMap;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
};
use tokio::{
    sync::Notify,
    time::{
        sleep,
        timeout, //
    },
};

/// Least time between two log lines on connections and requests that had to give way.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two events on what is held.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Why the body of a request was not read. Nothing was done for the request.
#[derive(Debug)]
pub(super) enum Refusal {
    /// Other requests hold the bytes of the budget.
    Full,
    /// It is larger than a request may be.
    TooLarge,
    /// It was not complete in time.
    Late,
    /// The connection has failed, or the encoding of the body is not valid.
    Unreadable(String),
}

impl Refusal {
    /// Returns what the caller is told.
    pub(super) fn reply(self) -> Reply {
        let (problem, reason) = match self {
            Self::Full => (
                Problem::Overloaded,
                "the entry holds too many bytes of requests: nothing was done; try again later"
                    .to_owned(),
            ),
            Self::Late => (
                Problem::Unavailable,
                "the body was not complete in time: nothing was done; send it again".to_owned(),
            ),
            Self::TooLarge => (
                Problem::Malformed,
                "the body can't be read: length limit exceeded".to_owned(),
            ),
            Self::Unreadable(error) => (
                Problem::Malformed,
                format!("the body can't be read: {error}"),
            ),
        };
        Reply::Problem(problem, reason)
    }
}

impl From<Refused> for Refusal {
    fn from(refused: Refused) -> Self {
        match refused {
            Refused::Full => Self::Full,
            Refused::TooLarge => Self::TooLarge,
        }
    }
}

/// What a connection is told by others.
#[derive(Debug, Default)]
struct Signals {
    /// Its request has to give way.
    refuse: Notify,
    /// It has to close.
    close: Notify,
}

/// The part of a connection that others act on.
#[derive(Debug, Default)]
struct Slot {
    signals: Rc<Signals>,
    /// The part of the body that has arrived. It is freed as soon as the request has to give way, not only when its
    /// connection is served again.
    body: Vec<u8>,
}

/// Bodies and connections of the front thread, within its budget.
pub(super) struct Intake {
    budget: RefCell<Budget>,
    slots: RefCell<SecondaryMap<Key, Slot>>,
    sink: Rc<RefCell<Sink>>,
    clock: Clock,
    /// When the latest line on something that had to give way was written.
    evicted_line: Cell<Option<Time>>,
}

/// An open connection, which leaves the budget when it is dropped.
pub(super) struct Visit {
    intake: Rc<Intake>,
    key: Key,
    signals: Rc<Signals>,
}

impl Visit {
    pub(super) fn key(&self) -> Key {
        self.key
    }

    /// Waits until the connection has to close for another one.
    pub(super) async fn evicted(&self) {
        self.signals.close.notified().await;
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        self.intake.slots.borrow_mut().remove(self.key);
        self.intake.budget.borrow_mut().close(self.key);
    }
}

impl Intake {
    pub(super) fn new(limits: Limits, sink: Rc<RefCell<Sink>>, clock: Clock) -> Self {
        Self {
            budget: RefCell::new(Budget::new(limits)),
            slots: RefCell::default(),
            sink,
            clock,
            evicted_line: Cell::new(None),
        }
    }

    /// Accounts for a new connection, and closes the least useful one if there are too many. Returns `None` if each of them
    /// has a complete request, so that the new one has to close.
    pub(super) fn admit(self: &Rc<Self>, origin: Origin) -> Option<Visit> {
        let admitted = self.budget.borrow_mut().admit(origin, self.clock.now());
        let Some((key, evicted)) = admitted else {
            self.record_evicted("connection-evicted", "full");
            return None;
        };
        if let Some(evicted) = evicted {
            self.close(evicted);
        }
        let slot = Slot::default();
        let signals = Rc::clone(&slot.signals);
        self.slots.borrow_mut().insert(key, slot);
        Some(Visit {
            intake: Rc::clone(self),
            key,
            signals,
        })
    }

    /// Closes the least useful connection of an origin, because the process has no free descriptor.
    pub(super) fn relieve(&self, origin: Origin) {
        let evicted = self.budget.borrow_mut().evict(origin);
        if let Some(evicted) = evicted {
            self.close(evicted);
        }
    }

    /// Reads the body of a request whose caller waits until `until`.
    pub(super) async fn read(
        &self,
        key: Key,
        body: Incoming,
        until: Time,
    ) -> Result<Bytes, Refusal> {
        let now = self.clock.now();
        if !self.budget.borrow_mut().begin(key, now) {
            return Err(Refusal::Full);
        }
        let signals = self
            .slots
            .borrow()
            .get(key)
            .map(|slot| &slot.signals)
            .cloned();
        let Some(signals) = signals else {
            return Err(Refusal::Full);
        };
        let left = body_deadline(now, until).since(now);
        let result = tokio::select! {
            biased;
            () = signals.refuse.notified() => Err(Refusal::Full),
            result = timeout(left, self.collect(key, body)) => {
                result.unwrap_or(Err(Refusal::Late))
            }
        };
        match &result {
            Ok(_) | Err(Refusal::Unreadable(_)) => {}
            Err(Refusal::Full) => self.record_evicted("request-evicted", "full"),
            Err(Refusal::Late) => self.record_evicted("request-evicted", "late"),
            Err(Refusal::TooLarge) => self.record_evicted("request-evicted", "too-large"),
        }
        if result.is_err() {
            self.finish(key);
        }
        result
    }

    /// Sets the bytes that a request holds once its body has been decoded.
    pub(super) fn settle(&self, key: Key, bytes: usize) {
        self.budget.borrow_mut().settle(key, bytes);
    }

    /// Ends a request, whose answer is ready.
    pub(super) fn finish(&self, key: Key) {
        self.release(key);
        self.budget.borrow_mut().finish(key, self.clock.now());
    }

    async fn collect(&self, key: Key, mut body: Incoming) -> Result<Bytes, Refusal> {
        // The least size is the declared length.
        if body.size_hint().lower() > BODY_LIMIT_BYTES as u64 {
            return Err(Refusal::TooLarge);
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Refusal::Unreadable(error.to_string()))?;
            // Trailers are ignored.
            if let Ok(data) = frame.into_data() {
                self.append(key, &data)?;
            }
        }
        if !self.budget.borrow_mut().complete(key, self.clock.now()) {
            return Err(Refusal::Full);
        }
        Ok(self.release(key).into())
    }

    /// Copies a part of a body, so that the buffer that it has arrived in is free again.
    fn append(&self, key: Key, data: &[u8]) -> Result<(), Refusal> {
        let length = |slot: &Slot| slot.body.len() + data.len();
        let length = self.slots.borrow().get(key).map_or(0, length);
        let mut evicted = Vec::new();
        let now = self.clock.now();
        let grown = self
            .budget
            .borrow_mut()
            .grow(key, length, now, &mut evicted);
        for evicted in evicted {
            self.release(evicted);
            if let Some(slot) = self.slots.borrow().get(evicted) {
                slot.signals.refuse.notify_one();
            }
        }
        let capacity = grown?;
        if let Some(slot) = self.slots.borrow_mut().get_mut(key) {
            let missing = capacity.saturating_sub(slot.body.len());
            slot.body.reserve_exact(missing);
            slot.body.extend_from_slice(data);
        }
        Ok(())
    }

    /// Takes the body that a connection has sent so far.
    fn release(&self, key: Key) -> Vec<u8> {
        let mut slots = self.slots.borrow_mut();
        let slot = slots.get_mut(key);
        slot.map_or_else(Vec::new, |slot| core::mem::take(&mut slot.body))
    }

    fn close(&self, key: Key) {
        self.release(key);
        if let Some(slot) = self.slots.borrow().get(key) {
            slot.signals.close.notify_one();
        }
        self.record_evicted("connection-evicted", "least-useful");
    }

    /// Records that a request or connection had to give way. If the latest line is recent, the event appears in metrics
    /// only.
    fn record_evicted(&self, name: &'static str, reason: &'static str) {
        let now = self.clock.now();
        let mut event = Event::new(name, now).with("reason", Value::Code(reason));
        match self.evicted_line.get() {
            Some(latest) if now.since(latest) < LINE_INTERVAL => event = event.metrics_only(),
            _ => self.evicted_line.set(Some(now)),
        }
        self.record(event);
    }

    /// Records what is held at regular times, as long as it changes.
    pub(super) async fn report(&self) {
        let mut last = None;
        loop {
            let held = self.held();
            if last.replace(held) != Some(held) {
                let event = Event::new("held", self.clock.now())
                    .low_priority()
                    .as_state();
                self.record(event);
            }
            sleep(REPORT_INTERVAL).await;
        }
    }

    /// Returns the bytes of requests, and the connections of callers and of other entries.
    fn held(&self) -> [usize; 3] {
        let budget = self.budget.borrow();
        let [callers, entries] = [Origin::Caller, Origin::Entry].map(|origin| budget.open(origin));
        [budget.held(), callers, entries]
    }

    /// Records an event with what is held.
    fn record(&self, event: Event) {
        let held = ["bytes", "callers", "entries"].into_iter().zip(self.held());
        let event = held.fold(event, |event, (key, value)| {
            event.with(key, Value::Count(value as u64))
        });
        self.sink.borrow_mut().record(event);
    }
}
