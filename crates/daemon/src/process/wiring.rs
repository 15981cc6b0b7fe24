//! Creates the rings between the threads and starts the threads.

use super::{
    Error, Options,
    listener::listen,
    process::CONTROL_RING_CAPACITY,
    threads::{
        Thread,
        start, //
    },
};
use crate::{
    clock,
    dispatch::{
        self,
        Directive,
        Dispatch, //
    },
    peer::{
        self,
        Notice,
        PeerThread, //
    },
    platform::{
        self,
        Follower, //
    },
    settings::Settings, //
};
use core::net::SocketAddr;
use sassafrascrank_base::hash;
use sassafrascrank_claim::{
    lease,
    member::{
        Entry,
        Fold,
        Record, //
    },
};
use sassafrascrank_dispatch::{
    Catalog,
    Engine, //
};
use sassafrascrank_exchange::{
    self as exchange,
    Control,
    Exchange, //
};
use sassafrascrank_observe::{
    event::{
        self,
        Sink,
        Source,
        request, //
    },
    names::Table,
    status::update::Update,
    thread::{
        self,
        Handle,
        Setup, //
    },
    timeline, //
};
use sassafrascrank_peer::message::{
    Sender as Identity,
    State, //
};
use sassafrascrank_platform::http::{
    Client,
    Limits, //
};
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal,
    ring, //
};
use std::{
    io,
    net::TcpListener, //
};

/// Events that a thread can record between two batches of the observe thread, which are 5 ms apart.
const EVENT_RING_CAPACITY: usize = 4_096;

/// Notices for the peer thread between two of its rounds, with room for a confirmation and a join acknowledgement for
/// each of 64 peers.
const NOTICE_RING_CAPACITY: usize = 256;

/// Listener and rings of an exchange thread that has not started yet.
struct ExchangeSetup {
    listener: TcpListener,
    port: exchange::Port,
}

/// Listeners and ring ends that no thread has taken yet.
pub(super) struct Wiring {
    pub(super) callers: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) observe_signal: Signal,
    pub(super) updates: Vec<Receiver<Update>>,
    sources: Vec<Source>,
    timeline_capacity: usize,
    exchange_setups: Vec<ExchangeSetup>,
    dispatch_channels: Vec<dispatch::Channel>,
    dispatch_signal: Signal,
    to_exchanges: Vec<Sender<Control>>,
    to_dispatch: Option<Sender<Directive>>,
    records: Option<Receiver<Record>>,
    platform_signal: Signal,
    tables: Vec<Receiver<Table>>,
    peer_listener: TcpListener,
    peer_signal: Signal,
    notices: Vec<Receiver<Notice>>,
    peer_to_dispatch: Option<Sender<Directive>>,
    states: Option<Sender<State>>,
}

impl Wiring {
    pub(super) fn new(settings: &Settings, options: &Options, me: &Entry) -> Result<Self, Error> {
        let peer_error = |error| Error::Listen(settings.peers, "peers", error);
        let peer_listener = listen(settings.peers, false).map_err(peer_error)?;
        let mut wiring = Self {
            callers: settings.callers,
            peers: peer_listener.local_addr().map_err(peer_error)?,
            peer_listener,
            peer_signal: Signal::new(),
            notices: Vec::new(),
            peer_to_dispatch: None,
            states: None,
            observe_signal: Signal::new(),
            updates: Vec::new(),
            sources: Vec::new(),
            timeline_capacity: options.timeline,
            exchange_setups: Vec::new(),
            dispatch_channels: Vec::new(),
            dispatch_signal: Signal::new(),
            to_exchanges: Vec::new(),
            to_dispatch: None,
            records: None,
            platform_signal: Signal::new(),
            tables: Vec::new(),
        };
        let error = |error| Error::Listen(settings.callers, "callers", error);
        let threads = settings.exchange_threads;
        let origin = request::Origin::new(&me.host, me.incarnation);
        for index in 0..threads {
            // With port 0 in the settings, the others must use the port that the system assigned to the first.
            let listener = listen(wiring.callers, threads > 1).map_err(error)?;
            wiring.callers = listener.local_addr().map_err(error)?;
            let counter = request::Counter::new(origin, index.into(), threads.into());
            wiring.add_exchange(listener, options.exchange, counter);
        }
        Ok(wiring)
    }

    pub(super) fn start_exchanges(
        &mut self,
        limit: exchange::Limit,
    ) -> Result<Vec<Thread<Control, io::Result<()>>>, Error> {
        let mut threads = Vec::new();
        for (index, mut exchange_setup) in self.exchange_setups.drain(..).enumerate() {
            let (control, controls) = ring(CONTROL_RING_CAPACITY, &exchange_setup.port.signal);
            exchange_setup.port.controls.push(controls);
            // The settings bound the number of threads far below 256.
            let index = u8::try_from(index).unwrap_or(u8::MAX);
            let make = move || {
                Exchange::new(
                    index,
                    exchange_setup.listener,
                    exchange_setup.port,
                    limit,
                    clock::now,
                )
                .run()
            };
            threads.push(start("exchange", control, make)?);
        }
        Ok(threads)
    }

    pub(super) fn start_dispatch(
        &mut self,
        settings: &Settings,
        options: &Options,
        me: &Entry,
        catalog: &mut Catalog,
    ) -> Result<Thread<Directive, ()>, Error> {
        let home = catalog.availability_zone(&settings.availability_zone);
        let id = hash::identity(&me.host, me.incarnation);
        let zone = settings.availability_zone.clone();
        let limit = lease::Limit::default();
        let (control, directives) = ring(CONTROL_RING_CAPACITY, &self.dispatch_signal);
        let (to_dispatch, platform_directives) = ring(CONTROL_RING_CAPACITY, &self.dispatch_signal);
        let (peer_to_dispatch, peer_directives) =
            ring(CONTROL_RING_CAPACITY, &self.dispatch_signal);
        self.to_dispatch = Some(to_dispatch);
        self.peer_to_dispatch = Some(peer_to_dispatch);
        let (records_in, records) = ring(CONTROL_RING_CAPACITY, &self.platform_signal);
        self.records = Some(records);
        let setup = dispatch::Setup {
            engine: Engine::new(home, settings.exchange_threads, options.engine, id),
            lease: lease::Lease::new(me.clone(), zone.clone(), limit, Fold::default()),
            zone,
            table: options.table,
            address: self.peers,
            port: dispatch::Port {
                channels: core::mem::take(&mut self.dispatch_channels),
                directives: vec![directives, platform_directives, peer_directives],
                records: records_in,
                peer: self.add_notices(),
                updates: self.add_updates(),
                sink: self.add_sink("dispatch"),
                signal: self.dispatch_signal.clone(),
            },
            clock: clock::now,
        };
        start("dispatch", control, move || Dispatch::new(setup).run())
    }

    pub(super) fn start_platform(
        &mut self,
        settings: &Settings,
        me: &Entry,
        catalog: Catalog,
    ) -> Result<Thread<(), ()>, Error> {
        let (control, stop) = ring(1, &self.platform_signal);
        let (names, tables) = ring(CONTROL_RING_CAPACITY, &self.observe_signal);
        self.tables.push(tables);
        let (Some(to_dispatch), Some(records)) = (self.to_dispatch.take(), self.records.take())
        else {
            unreachable!("the dispatch thread is started first")
        };
        let (states_in, states) = ring(CONTROL_RING_CAPACITY, &self.platform_signal);
        self.states = Some(states_in);
        let port = platform::Port {
            states,
            peer: self.add_notices(),
            dispatch: to_dispatch,
            exchanges: core::mem::take(&mut self.to_exchanges),
            records,
            names,
            updates: self.add_updates(),
            sink: self.add_sink("platform"),
            stop,
            signal: self.platform_signal.clone(),
        };
        let client = Client::new(settings.platform, Limits::default());
        let follower = Follower::new(client, catalog, me, port, clock::now);
        start("platform", control, move || follower.run())
    }

    pub(super) fn start_peer(
        &mut self,
        settings: &Settings,
        me: &Entry,
    ) -> Result<Thread<Notice, io::Result<()>>, Error> {
        let error = |error| Error::Listen(settings.peers, "peers", error);
        let (control, notices) = ring(CONTROL_RING_CAPACITY, &self.peer_signal);
        self.notices.push(notices);
        let (Some(dispatch), Some(platform)) = (self.peer_to_dispatch.take(), self.states.take())
        else {
            unreachable!("the dispatch and platform threads are started first")
        };
        let setup = peer::Setup {
            me: Identity {
                entry: me.clone(),
                zone: settings.availability_zone.clone(),
                callers: self.callers,
                peers: self.peers,
            },
            seeds: settings.seeds.clone(),
            listener: self.peer_listener.try_clone().map_err(error)?,
            port: peer::Port {
                notices: core::mem::take(&mut self.notices),
                dispatch,
                platform,
                sink: self.add_sink("peer"),
                signal: self.peer_signal.clone(),
            },
            clock: clock::now,
        };
        start("peer", control, move || PeerThread::new(setup).run())
    }

    pub(super) fn start_observe(
        self,
        settings: &Settings,
        me: Entry,
    ) -> Result<(SocketAddr, Handle), Error> {
        let error = |error| Error::Listen(settings.admin, "admin", error);
        let listener = listen(settings.admin, false).map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let handle = thread::start(Setup {
            process: timeline::Process {
                host: me.host,
                incarnation: me.incarnation,
            },
            zone: settings.availability_zone.clone(),
            capacity: self.timeline_capacity,
            listener,
            sources: self.sources,
            tables: self.tables,
            updates: self.updates,
            signal: self.observe_signal,
            clock: clock::now,
            logger: spdlog::default_logger(),
        })?;
        Ok((address, handle))
    }

    fn add_exchange(
        &mut self,
        listener: TcpListener,
        limit: exchange::Limit,
        counter: request::Counter,
    ) {
        let signal = Signal::new();
        let (outbox, messages) = ring(limit.ring_capacity(), &self.dispatch_signal);
        let (replies_in, replies) = ring(limit.ring_capacity(), &signal);
        let (control, controls) = ring(CONTROL_RING_CAPACITY, &signal);
        self.dispatch_channels.push(dispatch::Channel {
            messages,
            replies: replies_in,
        });
        self.to_exchanges.push(control);
        let port = exchange::Port {
            replies,
            controls: vec![controls],
            signal,
            outbox,
            sink: self.add_sink("exchange"),
            counter,
        };
        self.exchange_setups.push(ExchangeSetup { listener, port });
    }

    fn add_sink(&mut self, thread: &'static str) -> Sink {
        let (sink, source) = event::ring(thread, EVENT_RING_CAPACITY, &self.observe_signal);
        self.sources.push(source);
        sink
    }

    fn add_notices(&mut self) -> Sender<Notice> {
        let (sender, receiver) = ring(NOTICE_RING_CAPACITY, &self.peer_signal);
        self.notices.push(receiver);
        sender
    }

    fn add_updates(&mut self) -> Sender<Update> {
        let (sender, receiver) = ring(CONTROL_RING_CAPACITY, &self.observe_signal);
        self.updates.push(receiver);
        sender
    }
}
