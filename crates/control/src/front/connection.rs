//! One connection.

use super::exchange::Exchange;
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

/// Time without the head of a request after which a connection is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest head of a request in bytes.
const HEAD_LIMIT: usize = 16 << 10;

/// Serves the requests of a caller until the connection or the process ends.
pub(super) async fn serve<D: Dialect>(stream: TcpStream, exchange: Rc<Exchange<D>>) {
    // Without this, a small answer waits for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let open = exchange.open_connection();
    let service = service_fn(|request| {
        let exchange = Rc::clone(&exchange);
        async move { Ok::<_, Infallible>(exchange.answer(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        // A broken connection concerns only its caller, who sees it.
        _ = connection.as_mut() => {}
        () = exchange.closed() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    drop(open);
}

/// Answers whether the entry is ready.
pub(super) async fn serve_readiness<D: Dialect>(stream: TcpStream, exchange: Rc<Exchange<D>>) {
    let service = service_fn(|_| {
        let mut response = Response::new(Full::new(Bytes::new()));
        if !exchange.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        async move { Ok::<_, Infallible>(response) }
    });
    // A broken connection concerns only the one who asked.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
