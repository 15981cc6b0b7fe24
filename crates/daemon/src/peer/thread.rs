//! Main loop and state of the peer thread.

use super::{
    LocalState,
    Notice,
    PeerReport,
    Port,
    handler::Responder, //
};
use crate::dispatch::Directive;
use core::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_observe::event::{
    Event,
    Kind, //
};
use sassafrascrank_peer::{
    client::{
        self,
        Client, //
    },
    message::{
        Handover,
        KnownState,
        Report,
        Sender as Identity,
        State, //
    },
    roster::{
        self,
        Key,
        Roster,
        Status, //
    },
    server::{
        self,
        Server, //
    },
};
use sassafrascrank_ring::{
    Receiver,
    Sender, //
};
use std::{
    collections::HashMap,
    io,
    net,
    rc::Rc, //
};
use tokio::{
    net::TcpListener,
    sync::oneshot,
    task::JoinSet,
    time::{
        Instant,
        timeout_at, //
    },
};

/// Attempts at one handover; the receiver may not have read the record yet that moved the keys to it.
const HANDOVER_ATTEMPTS: u32 = 5;
/// Time between two attempts at a handover, in which the receiver can read further records of the log.
const HANDOVER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Initial state of the peer thread.
pub struct Setup {
    /// This process and its listeners.
    pub me: Identity,
    /// Addresses of peers to contact before any membership is known.
    pub seeds: Vec<SocketAddr>,
    /// Non-blocking listener for peers.
    pub listener: net::TcpListener,
    /// This thread's ends of all rings.
    pub port: Port,
    /// Returns the current time.
    pub clock: fn() -> Time,
}

/// Main loop of the peer thread.
pub struct PeerThread {
    listener: net::TcpListener,
    notices: Vec<Receiver<Notice>>,
    signal: sassafrascrank_ring::Signal,
    shared: Rc<Shared>,
    handovers: JoinSet<()>,
}

/// State of the peer thread, shared with the tasks of its connections.
pub(super) struct Shared {
    roster: RefCell<Roster>,
    status: RefCell<Status>,
    pub(super) local_state: RefCell<LocalState>,
    clients: RefCell<HashMap<Key, Client>>,
    dispatch: RefCell<Sender<Directive>>,
    platform: RefCell<Sender<State>>,
    sink: RefCell<sassafrascrank_observe::event::Sink>,
    pending_handovers: RefCell<HashMap<u64, oneshot::Sender<Result<(), String>>>>,
    last_handover_number: Cell<u64>,
    clock: fn() -> Time,
}

impl PeerThread {
    /// Creates the thread's state; it must run on a `LocalSet`.
    pub fn new(setup: Setup) -> Self {
        let port = setup.port;
        let shared = Shared {
            roster: RefCell::new(Roster::new((setup.clock)(), setup.me, &setup.seeds)),
            status: RefCell::default(),
            local_state: RefCell::default(),
            clients: RefCell::default(),
            dispatch: RefCell::new(port.dispatch),
            platform: RefCell::new(port.platform),
            sink: RefCell::new(port.sink),
            pending_handovers: RefCell::default(),
            last_handover_number: Cell::default(),
            clock: setup.clock,
        };
        Self {
            listener: setup.listener,
            notices: port.notices,
            signal: port.signal,
            shared: Rc::new(shared),
            handovers: JoinSet::new(),
        }
    }

    /// Exchanges reports until the thread is stopped and all handovers have ended.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be used.
    pub async fn run(mut self) -> io::Result<()> {
        let listener = TcpListener::from_std(self.listener.try_clone()?)?;
        let server = Server::new(Responder(self.shared.clone()), server::Limit::default());
        let serving = tokio::task::spawn_local(async move { server.serve(listener).await });
        while !self.process_notices() {
            self.exchange();
            let now = (self.shared.clock)();
            let next = self.shared.roster.borrow().next_wakeup(now);
            let ready = || self.notices.iter().any(|ring| !ring.is_empty());
            let deadline = Instant::now() + next.since(now);
            timeout_at(deadline, self.signal.wait(ready)).await.ok();
        }
        while self.handovers.join_next().await.is_some() {}
        serving.abort();
        Ok(())
    }

    /// Handles all notices in the rings; returns whether the thread must stop.
    fn process_notices(&mut self) -> bool {
        while let Some(notice) = self.notices.iter_mut().find_map(Receiver::try_recv) {
            match notice {
                Notice::Stop => return true,
                Notice::HandOver(handover, address) => {
                    self.handovers.spawn_local(hand_over(address, handover));
                }
                notice => self.shared.process_notice(notice),
            }
        }
        false
    }

    /// Starts the exchanges of reports and the fetches of newer state that are due.
    fn exchange(&self) {
        let now = (self.shared.clock)();
        self.shared.process_roster_events(now);
        let due = self.shared.roster.borrow_mut().due(now);
        for key in due {
            tokio::task::spawn_local(self.shared.clone().report(key));
        }
        let known = self.shared.known_state();
        let newer = self
            .shared
            .roster
            .borrow_mut()
            .choose_state_source(now, known);
        if let Some(key) = newer {
            tokio::task::spawn_local(self.shared.clone().fetch(key, known));
        }
    }
}

impl Shared {
    /// Applies a report that a peer sent; returns `None` if the roster has no room for the peer.
    pub(super) fn apply_report(&self, report: &Report) -> Option<Key> {
        let key = self.roster.borrow_mut().receive((self.clock)(), report)?;
        self.send_to_dispatch(key, report);
        Some(key)
    }

    /// Composes the next report to a peer.
    pub(super) fn compose(&self, key: Key) -> Option<Report> {
        let status = self.status.borrow();
        self.roster
            .borrow_mut()
            .compose((self.clock)(), key, &status)
    }

    /// Sends a directive to the dispatch thread; returns whether the ring had room for it.
    pub(super) fn send(&self, directive: Directive) -> bool {
        self.dispatch.borrow_mut().send(directive).is_ok()
    }

    /// Assigns a number to a handover; its result will be sent to `sender`.
    pub(super) fn register_handover(&self, sender: oneshot::Sender<Result<(), String>>) -> u64 {
        let number = self.last_handover_number.get() + 1;
        self.last_handover_number.set(number);
        self.pending_handovers.borrow_mut().insert(number, sender);
        number
    }

    pub(super) fn remove_handover(&self, number: u64) {
        self.pending_handovers.borrow_mut().remove(&number);
    }

    fn process_notice(&self, notice: Notice) {
        let mut roster = self.roster.borrow_mut();
        match notice {
            Notice::Demand { demands, joining } => {
                roster.publish(demands);
                roster.set_joining(joining);
                let published = roster.published().copied().collect();
                // A directive that does not fit is dropped; the next one follows within a second.
                self.send(Directive::DemandReported(published));
            }
            Notice::ConfirmationRequests(requests) => {
                requests
                    .into_iter()
                    .for_each(|request| roster.queue_request(request));
            }
            Notice::Confirmation(to, answer) => roster.queue_answer(&to, answer),
            Notice::JoinAck(join_ack) => roster.queue_join_ack(join_ack),
            Notice::PostponeRetirement(entry) => roster.postpone_retirement((self.clock)(), &entry),
            Notice::UpstreamDraining(drain_notice) => {
                roster.announce_drain((self.clock)(), drain_notice)
            }
            Notice::HandoverResult(number, result) => {
                if let Some(sender) = self.pending_handovers.borrow_mut().remove(&number) {
                    // The receiver is gone if the peer has closed its connection.
                    sender.send(result).ok();
                }
            }
            Notice::LocalState(local_state) => {
                let now = (self.clock)();
                roster.update_members(now, &local_state.member, |member| member.address);
                let zone = roster.zone().clone();
                let mut status = self.status.borrow_mut();
                status.config_offset = local_state.config.as_ref().map_or(0, |image| image.through);
                status.membership_offset = local_state.member.offset;
                status.revision = local_state
                    .member
                    .zone(&zone)
                    .map_or(0, |zone| zone.revision);
                self.local_state.replace(local_state);
            }
            Notice::NewIncarnation(entry) => roster.set_entry(entry),
            Notice::HandOver(..) | Notice::Stop => {}
        }
    }

    /// Records which peers were lost or found, and sends losses and due retirements to the dispatch thread.
    fn process_roster_events(&self, now: Time) {
        let events = self.roster.borrow_mut().tick(now);
        for event in events {
            match event {
                roster::Event::Lost(entry) => {
                    self.record(Event::new(now, Kind::PeerLost));
                    self.send(Directive::PeerLost(entry));
                }
                roster::Event::Found(_) => self.record(Event::new(now, Kind::PeerFound)),
                roster::Event::Retire(entry) => {
                    if !self.send(Directive::Retire(entry.clone())) {
                        self.roster.borrow_mut().postpone_retirement(now, &entry);
                    }
                }
            }
        }
    }

    /// Sends a report to a peer and applies the report in its answer.
    async fn report(self: Rc<Self>, key: Key) {
        let Some(report) = self.compose(key) else {
            return;
        };
        let Some(mut client) = self.take_client(key) else {
            return;
        };
        let result = client.report(&report).await;
        self.clients.borrow_mut().insert(key, client);
        let now = (self.clock)();
        match result {
            Ok(answer) => {
                self.roster.borrow_mut().record_success(now, key, &answer);
                self.send_to_dispatch(key, &answer);
            }
            Err(_) => self.roster.borrow_mut().record_failure(now, key),
        }
    }

    /// Fetches newer state from a peer for the platform thread.
    async fn fetch(self: Rc<Self>, key: Key, known: KnownState) {
        let address = self.roster.borrow().peer(key).map(roster::Peer::address);
        let Some(address) = address else {
            return;
        };
        let mut client = Client::new(address, client::Limit::default());
        if let Ok(state) = client.state(known).await
            && !state.is_empty()
        {
            // If the ring is full, the state is fetched again after the next exchange with the peer.
            self.platform.borrow_mut().send(state).ok();
        }
    }

    /// Returns the existing client for a peer, or a new one if there is none or the address has changed.
    fn take_client(&self, key: Key) -> Option<Client> {
        let roster = self.roster.borrow();
        let address = roster.peer(key)?.address();
        let mut clients = self.clients.borrow_mut();
        clients.retain(|key, _| roster.peer(*key).is_some());
        let existing = clients
            .remove(&key)
            .filter(|client| client.address() == address);
        Some(existing.unwrap_or_else(|| Client::new(address, client::Limit::default())))
    }

    fn send_to_dispatch(&self, key: Key, report: &Report) {
        let roster = self.roster.borrow();
        let demands = roster
            .peer(key)
            .map(|peer| peer.demands().copied().collect());
        drop(roster);
        let received = PeerReport {
            entry: report.sender.entry.clone(),
            zone: report.sender.zone.clone(),
            callers: report.sender.callers,
            demands: demands.unwrap_or_default(),
            drain_notices: report.drain_notices.clone(),
            request: report.request.clone(),
            answer: report.answer.clone(),
            joining: report.joining,
            join_ack: report.join_ack.clone(),
        };
        // A report that does not fit is dropped; the next one follows within a second.
        self.send(Directive::PeerReport(Box::new(received)));
    }

    fn known_state(&self) -> KnownState {
        let status = self.status.borrow();
        KnownState {
            config: status.config_offset,
            member: status.membership_offset,
            hosts: !self.local_state.borrow().hosts.is_empty(),
        }
    }

    fn record(&self, event: Event) {
        self.sink.borrow_mut().record(event);
    }
}

/// Hands outcomes over to a peer. If every attempt fails, the peer answers "outcome unknown" for those keys.
async fn hand_over(address: SocketAddr, handover: Box<Handover>) {
    let mut client = Client::new(address, client::Limit::default());
    for _ in 0..HANDOVER_ATTEMPTS {
        if client.hand_over(&handover).await.is_ok() {
            return;
        }
        tokio::time::sleep(HANDOVER_RETRY_INTERVAL).await;
    }
}
