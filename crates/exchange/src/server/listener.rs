//! Listener for callers, and service of the connections that it accepts.

use super::{
    admission::serve,
    context::Context, //
};
use core::{
    convert::Infallible,
    pin::pin, //
};
use hyper::service::service_fn;
use hyper_util::{
    rt::{
        TokioIo,
        TokioTimer, //
    },
    server::conn::auto, //
};
use sassafrascrank_base::prelude::*;
use std::{
    rc::Rc,
    sync::Arc, //
};
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
    time::timeout, //
};

/// Delay before the next accept after an error of the listener, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Phase of an exchange thread; it never goes back.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Phase {
    Serving,
    Closing,
}

/// Accepts connections until the thread closes.
///
/// Returns the semaphore of which each open connection holds one permit.
pub(super) async fn accept(
    listener: TcpListener,
    context: Rc<Context>,
    mut phases: watch::Receiver<Phase>,
) -> Arc<Semaphore> {
    let permits = Arc::new(Semaphore::new(context.limit.connections));
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = next_connection(&listener, &permits) => accepted,
            // Connections in the backlog of the kernel are accepted and served before the listener closes.
            _ = phases.wait_for(|phase| *phase == Phase::Closing) => return permits,
        };
        let Some((stream, permit)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let serving = serve_connection(stream, context.clone(), phases.clone());
        tokio::task::spawn_local(async move {
            serving.await;
            drop(permit);
        });
    }
}

/// Serves a connection until its caller closes it, or until the thread is closing and the last answer was sent.
async fn serve_connection(
    stream: TcpStream,
    context: Rc<Context>,
    mut phases: watch::Receiver<Phase>,
) {
    let limit = context.limit;
    let (request_seen, mut requests) = watch::channel(false);
    let service = service_fn(move |request| {
        request_seen.send_replace(true);
        let context = context.clone();
        async move { Ok::<_, Infallible>(serve(context, request).await) }
    });
    let mut builder = auto::Builder::new(LocalExecutor);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limit.head_timeout)
        .max_buf_size(limit.head_bytes);
    let max_header_list_bytes = u32::try_from(limit.head_bytes).unwrap_or(u32::MAX);
    builder.http2().max_header_list_size(max_header_list_bytes);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut first_request = requests.clone();
    // `auto::Builder` applies the header timeout only once it has detected the HTTP version, so the wait for the first
    // request needs a timeout of its own.
    let first_request_timeout = async {
        let first = first_request.wait_for(|seen| *seen);
        if timeout(limit.head_timeout, first).await.is_ok() {
            core::future::pending::<()>().await;
        }
    };
    let idle_close = async {
        phases.wait_for(|phase| *phase == Phase::Closing).await.ok();
        // A caller learns from the `Connection: close` of an answer that it must connect elsewhere. A new or idle
        // connection is kept open for one more such answer, since closing it at once could cut off a request that is
        // being sent.
        requests.mark_unchanged();
        timeout(limit.idle_close_timeout, requests.changed())
            .await
            .ok();
    };
    // An error ends only this connection; each of its requests notifies the dispatch thread when it is dropped.
    tokio::select! {
        ended = connection.as_mut() => {
            ended.ok();
            return;
        }
        () = first_request_timeout => return,
        () = idle_close => connection.as_mut().graceful_shutdown(),
    }
    connection.await.ok();
}

/// Waits for a permit and accepts one connection; returns `None` on an error of the listener or socket.
async fn next_connection(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, permit))
}

/// Executor that runs the streams of HTTP/2 connections on the current thread.
#[derive(Clone, Copy, Debug)]
struct LocalExecutor;

impl<F: Future + 'static> hyper::rt::Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        tokio::task::spawn_local(future);
    }
}
