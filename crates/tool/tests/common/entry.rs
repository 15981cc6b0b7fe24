//! Admin endpoint of an entry whose state the test sets.

use sassafrascrank_base::prelude::*;
use sassafrascrank_observe::{
    event::{
        self,
        Event, //
    },
    names::Table,
    status::{
        Update,
        update, //
    },
    thread::{
        self,
        Handle,
        Setup, //
    },
    timeline::Process, //
};
use sassafrascrank_ring::{
    Sender,
    Signal,
    ring, //
};
use slotmap::SlotMap;
use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::Arc, //
};

/// A running observe thread.
pub struct Entry {
    pub address: SocketAddr,
    pub sink: event::Sink,
    pub updates: Sender<Update>,
    pub tables: Sender<Table>,
    pub handle: Handle,
}

impl Entry {
    /// Starts the observe thread of `host` with a clock that stands at `millis` ms since the Unix epoch.
    pub fn start(host: &str, millis: u64) -> Self {
        let signal = Signal::new();
        let (sink, source) = event::ring("test", 64, &signal);
        let (tables, received_tables) = ring(4, &signal);
        let (updates, received_updates) = ring(4, &signal);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let setup = Setup {
            process: Process {
                host: name(host),
                incarnation: 7,
            },
            zone: name("suva"),
            capacity: 64,
            listener,
            sources: vec![source],
            tables: vec![received_tables],
            updates: vec![received_updates],
            signal,
            clock: move || Time::from_millis(millis),
            logger: Arc::new(spdlog::Logger::builder().build().unwrap()),
        };
        Self {
            address,
            sink,
            updates,
            tables,
            handle: thread::start(setup).unwrap(),
        }
    }

    /// Sends a status with one pool and one upstream.
    pub fn report(&mut self, running: u64) {
        let engine = update::Engine {
            pools: vec![update::Pool {
                name: name("quoting"),
                slots: 4,
                running,
                queued: 3,
            }],
            upstreams: vec![update::Upstream {
                host: name("w1"),
                pool: name("quoting"),
                zone: name("suva"),
                state: update::State::Active,
                slots: 4,
                running,
            }],
        };
        let platform = update::Platform {
            configuration: 12,
            membership: 3,
            members: vec![update::Member {
                host: name("entry-2"),
                incarnation: 7,
                zone: name("suva"),
                address: ([127, 0, 0, 1], 9).into(),
                reachable: true,
            }],
            log_lost: None,
        };
        self.updates.send(Update::Platform(platform)).unwrap();
        self.updates.send(Update::Engine(engine)).unwrap();
        self.updates
            .send(Update::Phase(update::Phase::Serving))
            .unwrap();
    }

    /// Records events in the given order.
    pub fn record(&mut self, events: &[Event]) {
        for event in events {
            self.sink.record(*event);
        }
    }

    /// Publishes a name table with one other entry and returns the key of that entry.
    pub fn member(&mut self, host: &str) -> entry::Key {
        let mut keys = SlotMap::with_key();
        let key = keys.insert(());
        let table = Table {
            members: vec![(key, name(host))],
            ..Default::default()
        };
        self.tables.send(table).unwrap();
        key
    }
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}
