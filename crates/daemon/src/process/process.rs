//! Start and shutdown of an entry process inside the current operating system process.

use super::{
    threads::{
        Thread,
        wait_for_end, //
    },
    wiring::Wiring, //
};
use crate::{
    clock,
    dispatch::Directive,
    peer::Notice,
    settings::Settings, //
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::{
    member::Entry,
    table, //
};
use sassafrascrank_dispatch::{
    Catalog,
    engine, //
};
use sassafrascrank_exchange::{
    self as exchange,
    Control, //
};
use sassafrascrank_observe::{
    status::update::{
        Phase,
        Update, //
    },
    thread::Handle,
    timeline, //
};
use sassafrascrank_ring::{
    Sender,
    ring, //
};
use std::{
    io,
    time::Instant, //
};

/// Capacity of a ring for control messages. A message that does not fit is sent again, or a later one replaces it.
pub(super) const CONTROL_RING_CAPACITY: usize = 64;

/// Longest wait for this entry to read back its departure and to hand over its outcomes.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits that tests and the demo can lower.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Limits of each exchange thread.
    pub exchange: exchange::Limit,
    /// Limits of the engine.
    pub engine: engine::Limit,
    /// Limits of the table of keyed requests.
    pub table: table::Limit,
    /// Capacity of the time line, in records.
    pub timeline: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            exchange: exchange::Limit::default(),
            engine: engine::Limit::default(),
            table: table::Limit::default(),
            timeline: timeline::CAPACITY_DEFAULT,
        }
    }
}

/// The process can't start or did not shut down cleanly.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A listener can't be opened.
    #[error("can't listen on {0} for {1}: {2}; free the address or change the settings")]
    Listen(SocketAddr, &'static str, io::Error),
    /// A thread can't be started.
    #[error("can't start thread {0}: {1}; raise the limit on threads")]
    Thread(&'static str, io::Error),
    /// The observe thread can't be started.
    #[error(transparent)]
    Observe(#[from] sassafrascrank_observe::thread::Error),
    /// A thread has panicked.
    #[error("thread {0} panicked; the message above names the place")]
    Panicked(&'static str),
    /// Requests were still running when the shutdown limit expired.
    #[error("requests were still running after {0:?}; raise shutdown_limit_ms")]
    ShutdownTimeout(Duration),
}

/// A running entry process.
#[derive(Debug)]
pub struct Process {
    settings: Settings,
    callers: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
    exchanges: Vec<Thread<Control, io::Result<()>>>,
    dispatch: Thread<Directive, ()>,
    platform: Thread<(), ()>,
    peer: Thread<Notice, io::Result<()>>,
    updates: Sender<Update>,
    observe: Handle,
}

impl Process {
    /// Starts all threads of an entry process.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be opened or a thread can't be started.
    pub fn start(settings: Settings, options: Options) -> Result<Self, Error> {
        let me = Entry {
            host: settings.host.clone(),
            incarnation: clock::now().as_millis(),
        };
        let mut wiring = Wiring::new(&settings, &options, &me)?;
        let (updates, main_updates) = ring(CONTROL_RING_CAPACITY, &wiring.observe_signal);
        wiring.updates.push(main_updates);
        let (callers, peers) = (wiring.callers, wiring.peers);
        let exchanges = wiring.start_exchanges(options.exchange)?;
        let mut catalog = Catalog::new();
        let dispatch = wiring.start_dispatch(&settings, &options, &me, &mut catalog)?;
        let platform = wiring.start_platform(&settings, &me, catalog)?;
        let peer = wiring.start_peer(&settings, &me)?;
        let (admin, observe) = wiring.start_observe(&settings, me)?;
        Ok(Self {
            settings,
            callers,
            peers,
            admin,
            exchanges,
            dispatch,
            platform,
            peer,
            updates,
            observe,
        })
    }

    /// Returns the address of the listener for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the listener for other entries.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the address of the listener for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Shuts down gracefully: keeps serving for the shutdown delay, then stops accepting and finishes running requests.
    ///
    /// Blocks for the shutdown delay, then at most for the shutdown limit, and then for the handover of outcomes.
    ///
    /// # Errors
    ///
    /// Fails if a thread has panicked or requests were still running at the end of the limit.
    pub fn shut_down(mut self) -> Result<(), Error> {
        self.updates.send(Update::Phase(Phase::ShuttingDown)).ok();
        self.dispatch.control.send(Directive::Drain).ok();
        self.control_exchanges(&Control::Drain);
        std::thread::sleep(self.settings.shutdown_delay);
        self.dispatch.control.send(Directive::Leave).ok();
        self.control_exchanges(&Control::Close);
        let deadline = Instant::now() + self.settings.shutdown_limit;
        for exchange in self.exchanges {
            if !wait_for_end(&exchange.handle, deadline) {
                return Err(Error::ShutdownTimeout(self.settings.shutdown_limit));
            }
            exchange.join()?.ok();
        }
        self.dispatch.control.send(Directive::HandOver).ok();
        if !wait_for_end(&self.peer.handle, Instant::now() + HANDOVER_TIMEOUT) {
            // The handover did not finish in time. Peers answer "outcome unknown" for the outcomes that they lack.
            self.peer.control.send(Notice::Stop).ok();
        }
        self.peer.join()?.ok();
        self.platform.control.send(()).ok();
        self.platform.join()?;
        self.dispatch.control.send(Directive::Stop).ok();
        self.dispatch.join()?;
        self.observe.stop().map_err(|_| Error::Panicked("observe"))
    }

    fn control_exchanges(&mut self, control: &Control) {
        for exchange in &mut self.exchanges {
            // Each thread gets only two of these messages, which always fit.
            exchange.control.send(control.clone()).ok();
        }
    }
}
