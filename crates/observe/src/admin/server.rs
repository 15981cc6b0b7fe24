//! HTTP server of the admin endpoint.

use super::{
    problem::Problem,
    route, //
};
use crate::observer::Observer;
use bytes::Bytes;
use core::{
    convert::Infallible,
    pin::pin, //
};
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use sassafrascrank_base::prelude::*;
use std::sync::Arc;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        OwnedSemaphorePermit,
        Semaphore,
        watch, //
    },
    time, //
};
use xtra::Address;

/// Largest number of connections served at once; further ones wait in the listener's backlog.
pub const CONNECTION_LIMIT: u32 = 64;
/// Time limit for the head of a request, and for the next request on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for an answer, after which the request gets status 503.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Age at which a connection is closed, so that slow readers can't hold all of them.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for open connections to finish when the endpoint stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before another try after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Size of the read buffer of a connection in bytes, which bounds the head of a request.
const BUFFER_BYTES_MAX: usize = 16 * 1_024;

/// Serves operators until `stop` becomes true, then lets open requests finish.
pub async fn serve<C>(
    listener: TcpListener,
    observer: Address<Observer>,
    clock: C,
    stop: watch::Receiver<bool>,
) where
    C: Fn() -> Time + Clone + Send + Sync + 'static,
{
    let slots = Arc::new(Semaphore::new(CONNECTION_LIMIT as usize));
    loop {
        let Some((stream, slot)) = accept(&listener, &slots, stop.clone()).await else {
            break;
        };
        tokio::spawn(serve_connection(
            stream,
            slot,
            observer.clone(),
            clock.clone(),
            stop.clone(),
        ));
    }
    drop(listener);
    // Connections that are still open after `STOP_TIMEOUT` are closed when the runtime ends.
    let _ = time::timeout(STOP_TIMEOUT, slots.acquire_many(CONNECTION_LIMIT)).await;
}

/// Accepts a connection once there is a slot for it; returns `None` when the endpoint stops.
async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
    mut stop: watch::Receiver<bool>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let accepted = async {
        let slot = Arc::clone(slots).acquire_owned().await.ok()?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => return Some((stream, slot)),
                Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    };
    tokio::select! {
        accepted = accepted => accepted,
        _ = stop.wait_for(|stop| *stop) => None,
    }
}

/// Serves one connection until its client closes it, it reaches `CONNECTION_TIMEOUT` or the endpoint stops.
async fn serve_connection<C>(
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
    observer: Address<Observer>,
    clock: C,
    mut stop: watch::Receiver<bool>,
) where
    C: Fn() -> Time + Clone + Send + Sync + 'static,
{
    let _slot = slot;
    let service = service_fn(|request| {
        let observer = observer.clone();
        let now = clock();
        async move { Ok::<_, Infallible>(respond(request, &observer, now).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(BUFFER_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), service);
    let mut served = pin!(served);
    // A failed connection affects only its client, which sees the failure.
    tokio::select! {
        _ = served.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => {}
        () = time::sleep(CONNECTION_TIMEOUT) => {}
    }
    served.as_mut().graceful_shutdown();
    let _ = time::timeout(STOP_TIMEOUT, served).await;
}

/// Answers a request within `ANSWER_TIMEOUT`.
async fn respond(
    request: Request<Incoming>,
    observer: &Address<Observer>,
    now: Time,
) -> Response<Full<Bytes>> {
    let answer = route::answer(request.method(), request.uri(), observer, now);
    match time::timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(response)) => response,
        Ok(Err(problem)) => problem.response(),
        Err(_) => Problem::unavailable("the answer took too long").response(),
    }
}
