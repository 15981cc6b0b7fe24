//! Tasks of the front thread.

use super::{
    Notice,
    Request,
    budget::{
        Limits,
        Origin, //
    },
    connection,
    exchange::Exchange,
    intake::Visit, //
};
use crate::{
    clock::Clock,
    port::{
        Dialect,
        Platform, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal, //
};
use sassafrascrank_trace::Sink;
use socket2::SockRef;
use std::{
    net,
    rc::Rc, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    task::{
        spawn_local,
        yield_now, //
    },
    time::{
        Instant,
        sleep,
        sleep_until, //
    },
};

/// Pause after a connection could not be accepted, for example because no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Size of the buffers in the system for what a connection has received and not read, and for what its client has not
/// acknowledged. The system's own bounds are several MiB, which clients that do not read their answers would use up.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;
/// Error code `ENFILE`: the system has no free file descriptor.
const SYSTEM_FILES: i32 = 23;
/// Error code `EMFILE`: the process has no free file descriptor.
const PROCESS_FILES: i32 = 24;

/// Parts of the front thread.
pub struct Front<P> {
    /// The platform.
    pub platform: P,
    /// Listener for callers' connections.
    pub callers: net::TcpListener,
    /// Listener for the readiness probe.
    pub readiness: net::TcpListener,
    /// Listener for callers' requests that other entries pass on, if there is one.
    pub relayed: Option<net::TcpListener>,
    /// Callers' requests to the control thread.
    pub requests: Sender<Request>,
    /// Messages from the control thread.
    pub notices: Receiver<Notice>,
    /// Signal of `notices`.
    pub signal: Signal,
    /// Events for logs and metrics.
    pub sink: Sink,
    /// The clock of the process.
    pub clock: Clock,
    /// Age of the last confirmation of the configuration up to which credentials are decided on; `None` without a limit.
    pub credential_limit: Option<Duration>,
    /// Time that requests in progress have after a [`Notice::Close`].
    pub drain: Duration,
    /// Limits on connections and on the bytes that requests hold.
    pub limits: Limits,
}

/// Runs until, after a [`Notice::Close`], the last connection has ended or the time for it is over. It has to run in a
/// local task set.
pub async fn run<P: Platform>(front: Front<P>) {
    let mut notices = front.notices;
    let exchange = Rc::new(Exchange::new(
        front.platform.dialect(),
        front.requests,
        front.sink,
        front.clock,
        front.credential_limit,
        front.limits,
    ));
    limit_buffers(&front.callers);
    front.relayed.iter().for_each(limit_buffers);
    if let Ok(listener) = TcpListener::from_std(front.callers) {
        let origin = Origin::Caller;
        spawn_local(accept_callers::<P>(listener, origin, Rc::clone(&exchange)));
    }
    let relayed = front.relayed.map(TcpListener::from_std);
    if let Some(Ok(listener)) = relayed {
        let origin = Origin::Entry;
        spawn_local(accept_callers::<P>(listener, origin, Rc::clone(&exchange)));
    }
    if let Ok(listener) = TcpListener::from_std(front.readiness) {
        spawn_local(accept_readiness::<P>(listener, Rc::clone(&exchange)));
    }
    let intake = Rc::clone(exchange.intake());
    spawn_local(async move { intake.report().await });
    let mut close_limit = None;
    loop {
        let ready = || !notices.is_empty() || notices.is_closed();
        match close_limit {
            None => front.signal.wait(ready).await,
            // While connections close, the control thread still sends answers to requests in progress.
            Some(limit) => tokio::select! {
                () = front.signal.wait(ready) => {}
                () = exchange.wait_for_drain() => return,
                () = sleep_until(limit) => return,
            },
        }
        while let Some(notice) = notices.try_recv() {
            match notice {
                Notice::Reply { caller, answer } => exchange.reply(caller, answer),
                Notice::Config(config) => exchange.configure(config),
                Notice::Confirmed(at) => exchange.confirm_config(at),
                Notice::Ready(ready) => exchange.set_ready(ready),
                Notice::Forward(leader) => exchange.set_leader(leader),
                Notice::Route(candidates) => exchange.set_candidates(candidates),
                Notice::Close => {
                    exchange.close();
                    close_limit = Some(Instant::now() + front.drain);
                }
            }
        }
        if notices.is_closed() {
            return;
        }
    }
}

/// Bounds the memory that the system holds for each connection that the listener accepts.
fn limit_buffers(listener: &net::TcpListener) {
    let socket = SockRef::from(listener);
    // Without these bounds the connections work all the same.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
}

async fn accept_callers<P: Platform>(
    listener: TcpListener,
    origin: Origin,
    exchange: Rc<Exchange<P::Dialect>>,
) {
    loop {
        if let Some((stream, visit)) = accept(&listener, origin, &exchange).await {
            let exchange = Rc::clone(&exchange);
            spawn_local(connection::serve(stream, origin, visit, exchange));
        }
    }
}

async fn accept_readiness<P: Platform>(listener: TcpListener, exchange: Rc<Exchange<P::Dialect>>) {
    loop {
        if let Some((stream, visit)) = accept(&listener, Origin::Probe, &exchange).await {
            let exchange = Rc::clone(&exchange);
            spawn_local(connection::serve_readiness(stream, visit, exchange));
        }
    }
}

/// Accepts a connection, and closes another one if there are too many. Returns `None` if none was accepted.
async fn accept<D: Dialect>(
    listener: &TcpListener,
    origin: Origin,
    exchange: &Exchange<D>,
) -> Option<(TcpStream, Visit)> {
    match listener.accept().await {
        Ok((stream, _)) => {
            let visit = exchange.intake().admit(origin);
            // Lets a connection that has to give way close before the next one is accepted.
            yield_now().await;
            Some((stream, visit?))
        }
        Err(error) => {
            if matches!(error.raw_os_error(), Some(PROCESS_FILES | SYSTEM_FILES)) {
                exchange.intake().relieve(origin);
            }
            sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}
