//! Fixture with a real exchange thread on loopback sockets; the test takes the part of the dispatch thread, the callers
//! and the upstreams.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of it"
)]

mod dispatch;
mod peer;

pub use dispatch::DispatchStub;
pub use peer::Peer;

use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model;
use sassafrascrank_dispatch::catalog::{
    Customer,
    Pool,
    Snapshot, //
};
use sassafrascrank_exchange::{
    Control,
    Exchange,
    Limit,
    Port, //
};
use sassafrascrank_observe::event::{
    self,
    request::{
        Counter,
        Origin, //
    },
};
use sassafrascrank_ring::{
    Sender,
    Signal,
    ring, //
};
use sha2::{
    Digest,
    Sha256, //
};
use std::{
    io,
    sync::Arc,
    thread, //
};
use tokio::{
    net::TcpListener,
    time::timeout, //
};

/// Longest wait for an expected event; only a failing test reaches it.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Header lines of an ordinary request.
pub const HEADERS: &str =
    "host: entry\r\nauthorization: Bearer secret\r\nsassafrascrank-pool: quoting\r\n";

/// Header line with a valid idempotency key.
pub const KEY: &str = "idempotency-key: suva:01890000-0000-7000-8000-000000000001\r\n";

/// Running exchange thread, with the stub of the dispatch thread and the control ring.
pub struct Fixture {
    pub callers: SocketAddr,
    pub dispatch: DispatchStub,
    pub control: Sender<Control>,
    thread: thread::JoinHandle<io::Result<()>>,
}

impl Fixture {
    /// Starts the exchange thread with a configuration for the customer `vanua`, followed by `controls`.
    pub fn start(limit: Limit, controls: &[Control]) -> Self {
        Self::with_ring(limit, controls, limit.ring_capacity())
    }

    /// Does the same as [`Self::start`], with a given capacity in messages of the ring to the dispatch thread.
    pub fn with_ring(limit: Limit, controls: &[Control], capacity: usize) -> Self {
        let (own, signal) = (Signal::new(), Signal::new());
        let (outbox, messages) = ring(capacity, &signal);
        let (replies_in, replies) = ring(limit.ring_capacity(), &own);
        let (mut control, controls_out) = ring(8, &own);
        control
            .send(Control::Configure(Arc::new(snapshot(1))))
            .unwrap();
        for extra in controls {
            control.send(extra.clone()).unwrap();
        }
        let (sink, _) = event::ring("exchange", 64, &signal);
        let port = Port {
            replies,
            controls: vec![controls_out],
            signal: own,
            outbox,
            sink,
            counter: Counter::new(Origin::new(&name("e1"), 1), 0, 1),
        };
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let callers = listener.local_addr().unwrap();
        let thread = thread::spawn(move || serve(listener, port, limit));
        Self {
            callers,
            dispatch: DispatchStub::new(messages, replies_in, signal),
            control,
            thread,
        }
    }

    /// Opens a connection of a caller.
    pub async fn caller(&self) -> Peer {
        Peer::connect(self.callers).await
    }

    /// Closes the exchange thread and waits until it has ended.
    pub async fn close(mut self) {
        self.control.send(Control::Close).unwrap();
        let thread = self.thread;
        let joined = tokio::task::spawn_blocking(move || thread.join().unwrap());
        within("the thread to end", joined).await.unwrap().unwrap();
    }
}

fn serve(listener: std::net::TcpListener, port: Port, limit: Limit) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let exchange = Exchange::new(0, listener, port, limit, clock);
    tokio::task::LocalSet::new().block_on(&runtime, exchange.run())
}

/// Clock that always returns the same time, so that all times in messages are the same in every run.
pub fn clock() -> Time {
    Time::from_millis(1_800_000_000_000)
}

/// Waits for an expected event.
///
/// # Panics
///
/// Panics with `what` if the event does not occur within [`EVENT_TIMEOUT`].
pub async fn within<T>(what: &str, event: impl Future<Output = T>) -> T {
    let event = timeout(EVENT_TIMEOUT, event).await;
    event.unwrap_or_else(|_| panic!("timed out waiting for {what}"))
}

/// Opens a listener for an upstream that the test controls byte by byte.
pub async fn upstream() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Returns the text of a GET request with the ordinary headers.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\n{HEADERS}\r\n")
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// Returns a configuration with `customers` customers; the first is `vanua` with the credential `secret`.
pub fn snapshot(customers: usize) -> Snapshot {
    let customer = |index: usize| {
        let (customer, credential) = match index {
            0 => ("vanua".to_owned(), "secret".to_owned()),
            _ => (format!("c{index}"), format!("secret-{index}")),
        };
        Customer {
            key: customer::Key::default(),
            name: name(&customer),
            contract: Arc::new(contract(&credential)),
            shares: vec![(pool::Key::default(), 100)],
        }
    };
    Snapshot {
        version: 1,
        complete: true,
        customers: (0..customers).map(customer).collect(),
        pools: vec![Pool {
            key: pool::Key::default(),
            name: name("quoting"),
            policy: Arc::new(policy()),
        }],
        ..Snapshot::default()
    }
}

fn contract(credential: &str) -> model::Contract {
    model::Contract {
        digest: Sha256::digest(credential).into(),
        rate: model::Rate {
            per_second: 1_000,
            burst: 1_000,
        },
        concurrency: None,
        shares: vec![(name("quoting"), 100)],
        classes: vec![model::Class {
            name: name("preview"),
            share: 100,
            queue_timeout: Duration::from_secs(10),
            queue_limit: 100,
        }],
        retry_percent: 10,
        spill: false,
    }
}

fn policy() -> model::Pool {
    model::Pool {
        slots: 8,
        connections: 64,
        attempt_timeout: Duration::from_secs(5),
        availability_percent: 50,
        spare: false,
    }
}

/// Sends a request and has it forwarded to `listener`; returns the caller, the upstream and the handle of the request.
pub async fn forwarded(
    fixture: &mut Fixture,
    listener: &TcpListener,
    text: &str,
    attempt_timeout: Duration,
) -> (Peer, Peer, caller::Handle) {
    let mut caller = fixture.caller().await;
    caller.write(text).await;
    let handle = fixture.dispatch.arrival().await;
    fixture
        .dispatch
        .forward(handle, listener.local_addr().unwrap(), attempt_timeout);
    let mut upstream = Peer::accept(listener).await;
    upstream.head().await;
    (caller, upstream, handle)
}
