//! Connections of callers and of the readiness probe.

use super::exchange::{
    Exchange,
    Origin, //
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
    exchange: Rc<Exchange<D>>,
) {
    // Nagle's algorithm would delay a small answer until the one before it is acknowledged.
    let _ = stream.set_nodelay(true);
    let open = exchange.open_connection();
    let service = service_fn(|request| {
        let exchange = Rc::clone(&exchange);
        async move { Ok::<_, Infallible>(exchange.answer(request, origin).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_LIMIT_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        // An error of the connection concerns only its caller, who notices it.
        _ = connection.as_mut() => {}
        () = exchange.wait_for_close() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    drop(open);
}

/// Answers readiness probes: 200 if the entry is ready, 503 if not.
pub(super) async fn serve_readiness<D: Dialect>(stream: TcpStream, exchange: Rc<Exchange<D>>) {
    let service = service_fn(|_| {
        let mut response = Response::new(Full::new(Bytes::new()));
        if !exchange.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        async move { Ok::<_, Infallible>(response) }
    });
    // An error of the connection concerns only the prober.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
