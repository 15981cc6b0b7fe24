//! Accepting and serving connections of peers.

use super::{
    Count,
    Handler,
    Limit,
    session::Session, //
};
use core::{
    cell::Cell,
    time::Duration, //
};
use hyper::{
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use std::rc::Rc;
use tokio::net::{
    TcpListener,
    TcpStream, //
};

/// Pause after a failed accept, so that the loop does not spin while file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Most bytes that one connection buffers; the heads that peers send take about 60.
const BUFFER_LIMIT: usize = 64 << 10;

/// Server for the messages of peers; it runs on one thread.
pub struct Server<H> {
    shared: Rc<Shared<H>>,
}

/// State that all connections of a server share.
pub(super) struct Shared<H> {
    pub(super) handler: H,
    pub(super) limit: Limit,
    pub(super) count: Cell<Count>,
    pub(super) handovers: Cell<usize>,
    connections: Cell<usize>,
}

impl<H: Handler + 'static> Server<H> {
    /// Makes a server, which accepts connections once [`serve`](Self::serve) runs.
    pub fn new(handler: H, limit: Limit) -> Self {
        Self {
            shared: Rc::new(Shared {
                handler,
                limit,
                count: Cell::default(),
                handovers: Cell::new(0),
                connections: Cell::new(0),
            }),
        }
    }

    /// Returns the counters.
    pub fn count(&self) -> Count {
        self.shared.count.get()
    }

    /// Returns the handler.
    pub fn handler(&self) -> &H {
        &self.shared.handler
    }

    /// Accepts connections until the future is dropped; connections that are open then go on.
    ///
    /// It must run in a `LocalSet` or a local runtime.
    pub async fn serve(&self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.open(stream),
                Err(_) => {
                    self.shared.update_count(|count| count.closed += 1);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn open(&self, stream: TcpStream) {
        let shared = &self.shared;
        if shared.connections.get() >= shared.limit.connections {
            shared.update_count(|count| count.closed += 1);
            return;
        }
        shared.update_count(|count| count.accepted += 1);
        let guard = ConnectionGuard::new(Rc::clone(shared));
        tokio::task::spawn_local(async move {
            run(&guard.0, stream).await;
        });
    }
}

async fn run<H: Handler>(shared: &Rc<Shared<H>>, stream: TcpStream) {
    // Without this, Nagle's algorithm holds a small answer back until the one before is acknowledged.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let session = Rc::new(Session::new(Rc::clone(shared)));
    let service = service_fn(move |request| {
        let session = Rc::clone(&session);
        async move { Ok::<_, core::convert::Infallible>(session.respond(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.limit.idle)
        .max_buf_size(BUFFER_LIMIT)
        // A date header takes 37 bytes in each answer, and a report contains the time already.
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    // An error needs no handling: the peer sees that the connection has ended, and opens another one.
    let _ = connection.await;
}

impl<H> Shared<H> {
    pub(super) fn update_count(&self, change: impl FnOnce(&mut Count)) {
        let mut count = self.count.get();
        change(&mut count);
        self.count.set(count);
    }
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard<H>(Rc<Shared<H>>);

impl<H> ConnectionGuard<H> {
    fn new(shared: Rc<Shared<H>>) -> Self {
        shared.connections.set(shared.connections.get() + 1);
        Self(shared)
    }
}

impl<H> Drop for ConnectionGuard<H> {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}
