//! Main loop of the dispatch thread.

use super::{
    Directive,
    Port,
    keyed::{
        Action,
        KeyedRequests, //
    },
    port::Rings,
    recorder::Recorder,
    status::status, //
};
use core::{
    net::SocketAddr,
    ops::ControlFlow, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::{
    lease::Lease,
    table, //
};
use sassafrascrank_dispatch::{
    Arrival,
    Decision,
    Engine,
    Snapshot, //
};
use sassafrascrank_exchange::{
    Message, Reply,
    message::{
        Answer,
        Idempotency, //
    },
};
use sassafrascrank_observe::{
    event::{
        Event,
        Kind,
        request, //
    },
    status::update::{
        Phase,
        Update, //
    },
};
use sassafrascrank_route::{
    AttemptResult,
    DrainSource,
    partition::REPORT_INTERVAL, //
};
use std::sync::Arc;
use tokio::time::{
    Instant,
    timeout_at, //
};

/// Most messages taken from one exchange thread before the next thread is served.
const BATCH_LIMIT: usize = 256;
/// Interval at which quotas of upstreams move towards the latest division, since added slots take effect with a delay.
const QUOTA_INTERVAL: Duration = Duration::from_millis(100);

/// Initial state of the dispatch thread.
#[derive(Debug)]
pub struct Setup {
    /// Engine without configuration.
    pub engine: Engine,
    /// Lease of this entry, which has not joined yet.
    pub lease: Lease,
    /// Availability zone of this entry.
    pub zone: Name,
    /// Limits of the table of keyed requests.
    pub table: table::Limit,
    /// Address of the listener for other entries, written to this entry's membership record.
    pub address: SocketAddr,
    /// This thread's ends of all rings.
    pub port: Port,
    /// Returns the current time.
    pub clock: fn() -> Time,
}

/// State of the dispatch thread.
#[derive(Debug)]
pub struct Dispatch {
    pub(super) engine: Engine,
    pub(super) keyed: KeyedRequests,
    pub(super) address: SocketAddr,
    pub(super) recorder: Recorder,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) port: Rings,
    clock: fn() -> Time,
    decisions: Vec<Decision>,
    next_report: Time,
    next_quota_update: Time,
    /// Whether this entry is leaving the membership for a graceful shutdown.
    pub(super) leaving: bool,
    /// Whether outcomes must be handed over once this entry has read its departure back from the log.
    pub(super) handing_over: bool,
}

impl Dispatch {
    /// Creates the state; all rings must wake the port's signal.
    pub fn new(setup: Setup) -> Self {
        // The settings bound the number of threads far below 256.
        let threads = u8::try_from(setup.port.channels.len()).unwrap_or(u8::MAX);
        let (port, sink) = setup.port.split();
        Self {
            engine: setup.engine,
            keyed: KeyedRequests::new(setup.lease, setup.zone, setup.table, threads),
            address: setup.address,
            recorder: Recorder::new(sink, threads),
            snapshot: Arc::default(),
            port,
            clock: setup.clock,
            decisions: Vec::new(),
            next_report: Time::MIN,
            next_quota_update: Time::MIN,
            leaving: false,
            handing_over: false,
        }
    }

    /// Processes messages and directives until a `Directive::Stop` arrives.
    pub async fn run(mut self) {
        loop {
            let now = (self.clock)();
            if self.take_directives(now).is_break() {
                return;
            }
            self.take_messages(now);
            self.tick(now);
            self.engine.poll(now, &mut self.decisions);
            self.send_decisions(now);
            self.wait(now).await;
        }
    }

    async fn wait(&self, now: Time) {
        let wakeup = self.engine.next_wakeup().unwrap_or(Time::MAX);
        let wakeup = wakeup.min(self.next_report).min(self.next_quota_update);
        let deadline = Instant::now() + wakeup.since(now);
        // The next iteration handles both a message and an expired timeout.
        let wait = self.port.signal.wait(|| self.port.is_ready());
        timeout_at(deadline, wait).await.ok();
    }

    fn tick(&mut self, now: Time) {
        if now >= self.next_quota_update {
            self.engine.follow_targets(now);
            self.next_quota_update = now + QUOTA_INTERVAL;
        }
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        self.prepare_reports(now);
        self.engine.divide(now);
        self.keyed.lease.tick(now);
        self.keyed.expire(now);
        let update = Update::Engine(status(&self.engine, &self.snapshot));
        // An update that does not fit is dropped; the next one follows within a second.
        self.port.updates.send(update).ok();
    }

    fn take_directives(&mut self, now: Time) -> ControlFlow<()> {
        while let Some(directive) = self.port.next_directive() {
            match directive {
                Directive::Configure(snapshot) => self.configure(now, snapshot),
                Directive::Drain => self.record_drain(now),
                Directive::Stop => return ControlFlow::Break(()),
                other => self.take_peer_directive(now, other),
            }
        }
        ControlFlow::Continue(())
    }

    fn configure(&mut self, now: Time, snapshot: Arc<Snapshot>) {
        if snapshot.version != self.snapshot.version {
            let event = Event::new(now, Kind::ConfigurationInForce).detail(snapshot.version);
            self.recorder.record(event);
        }
        self.engine.apply(now, &snapshot, &mut self.decisions);
        if snapshot.complete && !self.snapshot.complete {
            self.port.updates.send(Update::Phase(Phase::Serving)).ok();
        }
        self.snapshot = snapshot;
    }

    fn record_drain(&mut self, now: Time) {
        let pending = u64::try_from(self.engine.pending()).unwrap_or(u64::MAX);
        self.recorder
            .record(Event::new(now, Kind::ShutdownBegun).detail(pending));
    }

    fn take_messages(&mut self, now: Time) {
        for index in 0..self.port.channels.len() {
            for _ in 0..BATCH_LIMIT {
                let Some(message) = self.port.channels[index].messages.try_recv() else {
                    break;
                };
                self.take_message(now, message);
            }
        }
    }

    fn take_message(&mut self, now: Time, message: Message) {
        match message {
            Message::Arrive {
                id,
                arrival,
                idempotency,
            } => self.arrive(now, id, arrival, idempotency.as_ref()),
            Message::Finish {
                caller,
                result,
                answer,
            } => self.finish(now, caller, result, answer),
            Message::Cancel { caller } => {
                self.recorder.cancelled(now, caller);
                self.keyed
                    .finish_without_answer(now, caller, Outcome::Unknown);
                self.engine.cancel(now, caller);
            }
            Message::Draining { upstream, source } => {
                if self.drain_upstream(now, upstream, source) {
                    self.announce_drain(upstream);
                }
            }
        }
    }

    /// Stops new work for an upstream that is draining; returns whether it was not draining before.
    pub(super) fn drain_upstream(
        &mut self,
        now: Time,
        upstream: upstream::Key,
        source: DrainSource,
    ) -> bool {
        let first = self.engine.drain_upstream(now, upstream, source);
        if first {
            let event = Event::new(now, Kind::UpstreamDraining).upstream(upstream);
            self.recorder.record(event);
        }
        first
    }

    fn arrive(
        &mut self,
        now: Time,
        id: request::Id,
        arrival: Arrival,
        idempotency: Option<&Idempotency>,
    ) {
        self.recorder.arrived(now, id, &arrival);
        let caller = arrival.caller;
        if let Some(idempotency) = idempotency {
            match self.keyed.arrive(now, caller, idempotency) {
                Action::Run => {}
                Action::Wait => return,
                Action::Replay(answer) => return self.replay(now, caller, answer),
                Action::Forward(address) => return self.forward(now, caller, address),
                Action::Refuse(refusal) => {
                    self.decisions.push(Decision::Refuse { caller, refusal });
                    return;
                }
            }
        }
        if let Err(refusal) = self.engine.arrive(now, arrival) {
            self.decisions.push(Decision::Refuse { caller, refusal });
        }
    }

    fn finish(
        &mut self,
        now: Time,
        caller: caller::Handle,
        result: AttemptResult,
        answer: Option<Arc<Answer>>,
    ) {
        self.recorder.finished(now, caller, result);
        if let Some(answer) = answer {
            for repeat in self.keyed.finish_with_answer(now, caller, answer.clone()) {
                self.replay(now, repeat, answer.clone());
            }
        }
        self.engine.finish(now, caller, result);
    }

    fn replay(&mut self, now: Time, caller: caller::Handle, answer: Arc<Answer>) {
        self.recorder.replayed(now, caller);
        self.port.reply(Reply::Replay { caller, answer });
    }

    fn forward(&mut self, now: Time, caller: caller::Handle, address: SocketAddr) {
        self.recorder.forwarded(now, caller);
        self.port.reply(Reply::ForwardToOwner { caller, address });
    }

    fn send_decisions(&mut self, now: Time) {
        let mut decisions = core::mem::take(&mut self.decisions);
        for decision in decisions.drain(..) {
            self.recorder.decided(now, &decision);
            if let Decision::Refuse { caller, refusal } = decision {
                for caller in self
                    .keyed
                    .finish_without_answer(now, caller, refusal.outcome)
                {
                    self.recorder.refused(now, caller, &refusal);
                    self.port.reply(Reply::Refuse { caller, refusal });
                }
            }
            self.port.reply(decision.into());
        }
        self.decisions = decisions;
    }
}
