//! Main loop of the peer thread.

use super::{
    Heard,
    Holding,
    Notice,
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

/// Tries of one handover; the receiver may not have read the record that moved the keys yet.
const HANDOVER_TRIES: u32 = 5;
/// Time between two tries of a handover, the interval in which entries read the log.
const HANDOVER_PAUSE: Duration = Duration::from_millis(500);

/// What the peer thread starts with.
pub struct Setup {
    /// This process and its listeners.
    pub me: Identity,
    /// Peers to ask before any membership is known.
    pub seeds: Vec<SocketAddr>,
    /// Non-blocking listener for peers.
    pub listener: net::TcpListener,
    /// Ends of all rings.
    pub port: Port,
    /// Tells the present time.
    pub clock: fn() -> Time,
}

/// The peer thread.
pub struct Link {
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
    pub(super) holding: RefCell<Holding>,
    clients: RefCell<HashMap<Key, Client>>,
    dispatch: RefCell<Sender<Directive>>,
    platform: RefCell<Sender<State>>,
    sink: RefCell<sassafrascrank_observe::event::Sink>,
    acceptances: RefCell<HashMap<u64, oneshot::Sender<Result<(), String>>>>,
    accepted: Cell<u64>,
    clock: fn() -> Time,
}

impl Link {
    /// Makes the thread's state; it must run on a `LocalSet`.
    pub fn new(setup: Setup) -> Self {
        let port = setup.port;
        let shared = Shared {
            roster: RefCell::new(Roster::new((setup.clock)(), setup.me, &setup.seeds)),
            status: RefCell::default(),
            holding: RefCell::default(),
            clients: RefCell::default(),
            dispatch: RefCell::new(port.dispatch),
            platform: RefCell::new(port.platform),
            sink: RefCell::new(port.sink),
            acceptances: RefCell::default(),
            accepted: Cell::default(),
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

    /// Exchanges reports until the thread is stopped and its handovers have ended.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be used.
    pub async fn run(mut self) -> io::Result<()> {
        let listener = TcpListener::from_std(self.listener.try_clone()?)?;
        let server = Server::new(Responder(self.shared.clone()), server::Limit::default());
        let serving = tokio::task::spawn_local(async move { server.serve(listener).await });
        while !self.take_notices() {
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

    /// Takes what waits in the rings; tells whether the thread has to stop.
    fn take_notices(&mut self) -> bool {
        while let Some(notice) = self.notices.iter_mut().find_map(Receiver::try_recv) {
            match notice {
                Notice::Stop => return true,
                Notice::HandOver(handover, address) => {
                    self.handovers.spawn_local(hand_over(address, handover));
                }
                notice => self.shared.take_notice(notice),
            }
        }
        false
    }

    /// Starts the exchanges that are due.
    fn exchange(&self) {
        let now = (self.shared.clock)();
        self.shared.note_changes(now);
        let due = self.shared.roster.borrow_mut().due(now);
        for key in due {
            tokio::task::spawn_local(self.shared.clone().report(key));
        }
        let have = self.shared.have();
        let newer = self
            .shared
            .roster
            .borrow_mut()
            .choose_state_source(now, have);
        if let Some(key) = newer {
            tokio::task::spawn_local(self.shared.clone().fetch(key, have));
        }
    }
}

impl Shared {
    /// Takes a report that a peer sent.
    pub(super) fn hear(&self, report: &Report) -> Option<Key> {
        let key = self.roster.borrow_mut().receive((self.clock)(), report)?;
        self.pass_on(key, report);
        Some(key)
    }

    /// Composes the next report to a peer.
    pub(super) fn compose(&self, key: Key) -> Option<Report> {
        let status = self.status.borrow();
        self.roster
            .borrow_mut()
            .compose((self.clock)(), key, &status)
    }

    /// Sends to the dispatch thread; tells whether it fitted.
    pub(super) fn send(&self, directive: Directive) -> bool {
        self.dispatch.borrow_mut().send(directive).is_ok()
    }

    /// Numbers a handover whose acceptance `sender` waits for.
    pub(super) fn await_acceptance(&self, sender: oneshot::Sender<Result<(), String>>) -> u64 {
        let number = self.accepted.get() + 1;
        self.accepted.set(number);
        self.acceptances.borrow_mut().insert(number, sender);
        number
    }

    pub(super) fn forget_acceptance(&self, number: u64) {
        self.acceptances.borrow_mut().remove(&number);
    }

    fn take_notice(&self, notice: Notice) {
        let mut roster = self.roster.borrow_mut();
        match notice {
            Notice::Demand { demands, joining } => {
                roster.publish(demands);
                roster.set_joining(joining);
                let published = roster.published().copied().collect();
                // What does not fit is followed by the next one in a second.
                self.send(Directive::Published(published));
            }
            Notice::Requests(requests) => {
                requests
                    .into_iter()
                    .for_each(|request| roster.queue_request(request));
            }
            Notice::Answer(to, answer) => roster.queue_answer(&to, answer),
            Notice::Testimony(witness) => roster.queue_join_ack(witness),
            Notice::Postpone(entry) => roster.postpone_retirement((self.clock)(), &entry),
            Notice::Leaving(sign) => roster.announce_drain((self.clock)(), sign),
            Notice::Accepted(number, result) => {
                if let Some(sender) = self.acceptances.borrow_mut().remove(&number) {
                    // The peer may have gone.
                    sender.send(result).ok();
                }
            }
            Notice::Holding(holding) => {
                let now = (self.clock)();
                roster.update_members(now, &holding.member, |member| member.address);
                let zone = roster.zone().clone();
                let mut status = self.status.borrow_mut();
                status.config_offset = holding.config.as_ref().map_or(0, |image| image.through);
                status.membership_offset = holding.member.offset;
                status.revision = holding.member.zone(&zone).map_or(0, |zone| zone.revision);
                self.holding.replace(holding);
            }
            Notice::Rename(entry) => roster.set_entry(entry),
            Notice::HandOver(..) | Notice::Stop => {}
        }
    }

    /// Passes on which peers were lost, found or are due for a retirement.
    fn note_changes(&self, now: Time) {
        let events = self.roster.borrow_mut().tick(now);
        for event in events {
            match event {
                roster::Event::Lost(entry) => {
                    self.record(Event::new(now, Kind::PeerLost));
                    self.send(Directive::Lost(entry));
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

    /// Sends a report to a peer and takes the report in its answer.
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
                self.pass_on(key, &answer);
            }
            Err(_) => self.roster.borrow_mut().record_failure(now, key),
        }
    }

    /// Fetches newer state from a peer for the platform thread.
    async fn fetch(self: Rc<Self>, key: Key, have: KnownState) {
        let address = self.roster.borrow().peer(key).map(roster::Peer::address);
        let Some(address) = address else {
            return;
        };
        let mut client = Client::new(address, client::Limit::default());
        if let Ok(state) = client.state(have).await
            && !state.is_empty()
        {
            // If the ring is full, the next exchange with the peer asks again.
            self.platform.borrow_mut().send(state).ok();
        }
    }

    /// Returns the kept client for a peer, or a new one if the peer has moved.
    fn take_client(&self, key: Key) -> Option<Client> {
        let roster = self.roster.borrow();
        let address = roster.peer(key)?.address();
        let mut clients = self.clients.borrow_mut();
        clients.retain(|key, _| roster.peer(*key).is_some());
        let kept = clients
            .remove(&key)
            .filter(|client| client.address() == address);
        Some(kept.unwrap_or_else(|| Client::new(address, client::Limit::default())))
    }

    fn pass_on(&self, key: Key, report: &Report) {
        let roster = self.roster.borrow();
        let demands = roster
            .peer(key)
            .map(|peer| peer.demands().copied().collect());
        drop(roster);
        let heard = Heard {
            entry: report.sender.entry.clone(),
            zone: report.sender.zone.clone(),
            callers: report.sender.callers,
            demands: demands.unwrap_or_default(),
            signs: report.drain_notices.clone(),
            request: report.request.clone(),
            answer: report.answer.clone(),
            joining: report.joining,
            witness: report.join_ack.clone(),
        };
        // A report that does not fit is followed by the next one in a second.
        self.send(Directive::Heard(Box::new(heard)));
    }

    fn have(&self) -> KnownState {
        let status = self.status.borrow();
        KnownState {
            config: status.config_offset,
            member: status.membership_offset,
            hosts: !self.holding.borrow().hosts.is_empty(),
        }
    }

    fn record(&self, event: Event) {
        self.sink.borrow_mut().record(event);
    }
}

/// Hands outcomes over to a peer; without them the peer answers "outcome unknown" for those keys.
async fn hand_over(address: SocketAddr, handover: Box<Handover>) {
    let mut client = Client::new(address, client::Limit::default());
    for _ in 0..HANDOVER_TRIES {
        if client.hand_over(&handover).await.is_ok() {
            return;
        }
        tokio::time::sleep(HANDOVER_PAUSE).await;
    }
}
