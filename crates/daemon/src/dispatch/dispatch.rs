//! Main loop of the dispatch thread.

use super::{
    Directive,
    Port,
    journal::Journal,
    keyed::{
        Keyed,
        Verdict, //
    },
    port::Rings,
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

/// Messages taken from one exchange thread before the others have their turn.
const BATCH_LIMIT: usize = 256;
/// Time between two looks at parts of upstreams that are still growing.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);

/// What the dispatch thread starts with.
#[derive(Debug)]
pub struct Setup {
    /// Engine without configuration.
    pub engine: Engine,
    /// Lease of an entry that has not joined.
    pub lease: Lease,
    /// Availability zone of this entry.
    pub zone: Name,
    /// Bounds of the table of keyed requests.
    pub table: table::Limit,
    /// Listener for other entries, for the membership record.
    pub address: SocketAddr,
    /// Ends of all rings.
    pub port: Port,
    /// Tells the present time.
    pub clock: fn() -> Time,
}

/// State of the dispatch thread.
#[derive(Debug)]
pub struct Dispatch {
    pub(super) engine: Engine,
    pub(super) keyed: Keyed,
    pub(super) address: SocketAddr,
    pub(super) journal: Journal,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) port: Rings,
    clock: fn() -> Time,
    decisions: Vec<Decision>,
    next_division: Time,
    next_follow: Time,
    /// Whether this entry leaves as planned.
    pub(super) leaving: bool,
    /// Whether outcomes have to be handed over once the departure is read back.
    pub(super) handing_over: bool,
}

impl Dispatch {
    /// Makes the state; all rings must wake the signal of the port.
    pub fn new(setup: Setup) -> Self {
        // The settings bound the number of threads far below 256.
        let threads = u8::try_from(setup.port.lanes.len()).unwrap_or(u8::MAX);
        let (port, sink) = setup.port.split();
        Self {
            engine: setup.engine,
            keyed: Keyed::new(setup.lease, setup.zone, setup.table, threads),
            address: setup.address,
            journal: Journal::new(sink, threads),
            snapshot: Arc::default(),
            port,
            clock: setup.clock,
            decisions: Vec::new(),
            next_division: Time::MIN,
            next_follow: Time::MIN,
            leaving: false,
            handing_over: false,
        }
    }

    /// Decides until a control thread stops it.
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
        let wakeup = wakeup.min(self.next_division).min(self.next_follow);
        let deadline = Instant::now() + wakeup.since(now);
        // Both a message and the end of the wait lead to the next round.
        let wait = self.port.signal.wait(|| self.port.is_ready());
        timeout_at(deadline, wait).await.ok();
    }

    fn tick(&mut self, now: Time) {
        if now >= self.next_follow {
            self.engine.follow_targets(now);
            self.next_follow = now + FOLLOW_INTERVAL;
        }
        if now < self.next_division {
            return;
        }
        self.next_division = now + REPORT_INTERVAL;
        self.report(now);
        self.engine.divide(now);
        self.keyed.lease.tick(now);
        self.keyed.expire(now);
        let update = Update::Engine(status(&self.engine, &self.snapshot));
        // The next update follows in a second.
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
            self.journal.record(event);
        }
        self.engine.apply(now, &snapshot, &mut self.decisions);
        if snapshot.complete && !self.snapshot.complete {
            self.port.updates.send(Update::Phase(Phase::Serving)).ok();
        }
        self.snapshot = snapshot;
    }

    fn record_drain(&mut self, now: Time) {
        let pending = u64::try_from(self.engine.pending()).unwrap_or(u64::MAX);
        self.journal
            .record(Event::new(now, Kind::ShutdownBegun).detail(pending));
    }

    fn take_messages(&mut self, now: Time) {
        for index in 0..self.port.lanes.len() {
            for _ in 0..BATCH_LIMIT {
                let Some(message) = self.port.lanes[index].messages.try_recv() else {
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
                self.journal.cancelled(now, caller);
                self.keyed.refused(now, caller, Outcome::Unknown);
                self.engine.cancel(now, caller);
            }
            Message::Draining { upstream, source } => {
                if self.drain_upstream(now, upstream, source) {
                    self.spread_sign(upstream);
                }
            }
        }
    }

    /// Stops new work for an upstream that is leaving; tells whether this is the first sign.
    pub(super) fn drain_upstream(
        &mut self,
        now: Time,
        upstream: upstream::Key,
        sign: DrainSource,
    ) -> bool {
        let first = self.engine.drain_upstream(now, upstream, sign);
        if first {
            let event = Event::new(now, Kind::UpstreamDraining).upstream(upstream);
            self.journal.record(event);
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
        self.journal.arrived(now, id, &arrival);
        let caller = arrival.caller;
        if let Some(idempotency) = idempotency {
            match self.keyed.arrive(now, caller, idempotency) {
                Verdict::Run => {}
                Verdict::Wait => return,
                Verdict::Replay(answer) => return self.replay(now, caller, answer),
                Verdict::Redirect(address) => return self.redirect(now, caller, address),
                Verdict::Refuse(refusal) => {
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
        report: AttemptResult,
        answer: Option<Arc<Answer>>,
    ) {
        self.journal.finished(now, caller, report);
        if let Some(answer) = answer {
            for repeat in self.keyed.answered(now, caller, answer.clone()) {
                self.replay(now, repeat, answer.clone());
            }
        }
        self.engine.finish(now, caller, report);
    }

    fn replay(&mut self, now: Time, caller: caller::Handle, answer: Arc<Answer>) {
        self.journal.replayed(now, caller);
        self.port.reply(Reply::Replay { caller, answer });
    }

    fn redirect(&mut self, now: Time, caller: caller::Handle, address: SocketAddr) {
        self.journal.forwarded(now, caller);
        self.port.reply(Reply::ForwardToOwner { caller, address });
    }

    fn send_decisions(&mut self, now: Time) {
        let mut decisions = core::mem::take(&mut self.decisions);
        for decision in decisions.drain(..) {
            self.journal.decided(now, &decision);
            if let Decision::Refuse { caller, refusal } = decision {
                for caller in self.keyed.refused(now, caller, refusal.outcome) {
                    self.journal.refused(now, caller, &refusal);
                    self.port.reply(Reply::Refuse { caller, refusal });
                }
            }
            self.port.reply(decision.into());
        }
        self.decisions = decisions;
    }
}
