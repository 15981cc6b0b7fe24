//! Listener for callers, and the connections that it accepts.

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

/// Pause after an error of the listener, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Phase of an exchange thread; only grows.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Phase {
    Serving,
    Closing,
}

/// Accepts connections until the thread closes; returns the permits, one of which each connection holds.
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
            // Connections that the kernel has accepted already are served before the listener closes.
            _ = phases.wait_for(|phase| *phase == Phase::Closing) => return permits,
        };
        let Some((stream, permit)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let serving = serve_connection(stream, context.clone(), phases.clone());
        tokio::task::spawn_local(async move {
            serving.await;
            drop(permit);
        });
    }
}

/// Serves a connection until its caller closes it, or until the thread closes and its last answer is sent.
async fn serve_connection(
    stream: TcpStream,
    context: Rc<Context>,
    mut phases: watch::Receiver<Phase>,
) {
    let limit = context.limit;
    let (first, mut served) = watch::channel(false);
    let service = service_fn(move |request| {
        first.send_replace(true);
        let context = context.clone();
        async move { Ok::<_, Infallible>(serve(context, request).await) }
    });
    let mut builder = auto::Builder::new(LocalExecutor);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limit.head_timeout)
        .max_buf_size(limit.head_bytes);
    let list = u32::try_from(limit.head_bytes).unwrap_or(u32::MAX);
    builder.http2().max_header_list_size(list);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut opened = served.clone();
    // Until it knows the version of HTTP, the server of the connection has no time limit of its own.
    let silent = async {
        let first = opened.wait_for(|served| *served);
        if timeout(limit.head_timeout, first).await.is_ok() {
            core::future::pending::<()>().await;
        }
    };
    let closing = async {
        phases.wait_for(|phase| *phase == Phase::Closing).await.ok();
        // The caller of a new or idle connection has not been told to go elsewhere. Its next request is still served,
        // with an answer that tells it; an idle connection that is closed at once cuts a request on its way.
        served.mark_unchanged();
        timeout(limit.idle_close_timeout, served.changed())
            .await
            .ok();
    };
    // An error ends only this connection; its requests have been told to the dispatch thread.
    tokio::select! {
        ended = connection.as_mut() => {
            ended.ok();
            return;
        }
        () = silent => return,
        () = closing => connection.as_mut().graceful_shutdown(),
    }
    connection.await.ok();
}

async fn next_connection(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, permit))
}

/// Runs the streams of HTTP/2 connections on the thread of their connection.
#[derive(Clone, Copy, Debug)]
struct LocalExecutor;

impl<F: Future + 'static> hyper::rt::Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        tokio::task::spawn_local(future);
    }
}
