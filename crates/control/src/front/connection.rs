//! Connections of callers and of the readiness probe.

use super::{
    budget::Origin,
    exchange::Exchange,
    intake::Visit, //
};
use crate::port::Dialect;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response,
    StatusCode,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use sassafrascrank_base::prelude::*;
use std::{
    convert::Infallible,
    pin::pin,
    rc::Rc, //
};
use tokio::net::TcpStream;

/// Time without a complete request head after which a connection is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest request head.
const HEAD_LIMIT_BYTES: usize = 16 << 10;

/// Serves the requests of a caller until the connection or the process ends.
pub(super) async fn serve<D: Dialect>(
    stream: TcpStream,
    origin: Origin,
    visit: Visit,
    exchange: Rc<Exchange<D>>,
) {
    let key = visit.key();
    // Nagle's algorithm would delay a small answer until the one before it is acknowledged.
    let _ = stream.set_nodelay(true);
    let open = exchange.open_connection();
    let service = service_fn(|request| {
        let exchange = Rc::clone(&exchange);
        // The memory of an answer in progress is in a box, so that a connection without a request does not hold it.
        async move { Ok::<_, Infallible>(Box::pin(exchange.answer(request, origin, key)).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_LIMIT_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = async {
        tokio::select! {
            // An error of the connection concerns only its caller, who notices it.
            _ = connection.as_mut() => {}
            () = exchange.wait_for_close() => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    };
    tokio::select! {
        biased;
        // The request of this connection is not complete, so nothing was done for it.
        () = visit.evicted() => {}
        () = served => {}
    }
    drop(open);
}

/// Answers readiness probes: 200 if the entry is ready, 503 if not.
pub(super) async fn serve_readiness<D: Dialect>(
    stream: TcpStream,
    visit: Visit,
    exchange: Rc<Exchange<D>>,
) {
    let service = service_fn(|_| {
        let mut response = Response::new(Full::new(Bytes::new()));
        if !exchange.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        async move { Ok::<_, Infallible>(response) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_LIMIT_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        () = visit.evicted() => {}
        // An error of the connection concerns only the prober.
        _ = served => {}
    }
}
