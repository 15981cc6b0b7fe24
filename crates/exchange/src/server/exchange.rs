//! Exchange thread and its graceful shutdown.

use super::{
    Limit,
    context::Context,
    inbox::{
        Inbox,
        InboxTask, //
    },
    listener::{
        Phase,
        accept, //
    },
    outbox::Outbox,
    request::BufferUsage,
    waiter::Waiters, //
};
use crate::{
    Message,
    Reply,
    caller::Directory,
    upstream::Connections, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_dispatch::Snapshot;
use sassafrascrank_observe::event::{
    Sink,
    request::Counter, //
};
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io,
    net,
    rc::Rc,
    sync::Arc, //
};
use tokio::{
    net::TcpListener,
    sync::watch, //
};

/// Interval at which the shutdown checks for requests that have outlived the connections of their callers.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Message from a control thread to an exchange thread.
#[derive(Clone, Debug)]
pub enum Control {
    /// Use this configuration from now on.
    Configure(Arc<Snapshot>),
    /// Ask callers to open their next connection elsewhere; new connections are still served.
    Drain,
    /// Stop accepting connections, finish the requests that run, then end the thread.
    Close,
}

/// State of an exchange thread.
#[derive(Debug)]
pub struct Exchange {
    listener: net::TcpListener,
    inbox: Inbox,
    context: Context,
}

/// Ends of the rings that connect an exchange thread to the other threads.
#[derive(Debug)]
pub struct Port {
    /// Replies of the dispatch thread.
    pub replies: Receiver<Reply>,
    /// Messages of the control threads, one ring for each.
    pub controls: Vec<Receiver<Control>>,
    /// Signal on which all rings wake this thread.
    pub signal: Signal,
    /// Messages to the dispatch thread.
    pub outbox: Sender<Message>,
    /// Events for the time line.
    pub sink: Sink,
    /// Source of request ids.
    pub counter: Counter,
}

impl Exchange {
    /// Makes the state of the exchange thread with the index `thread`.
    ///
    /// `listener` must be non-blocking.
    pub fn new(
        thread: u8,
        listener: net::TcpListener,
        port: Port,
        limit: Limit,
        clock: fn() -> Time,
    ) -> Self {
        let context = Context {
            waiters: Waiters::new(thread, limit.callers),
            outbox: Outbox::new(port.outbox),
            counter: RefCell::new(port.counter),
            sink: RefCell::new(port.sink),
            connections: Connections::new(),
            directory: RefCell::new(Rc::new(Directory::default())),
            buffer_usage: BufferUsage::default(),
            limit,
            clock,
            draining: Cell::new(false),
        };
        let inbox = Inbox {
            replies: port.replies,
            controls: port.controls,
            signal: port.signal,
        };
        Self {
            listener,
            inbox,
            context,
        }
    }

    /// Serves callers until [`Control::Close`] is received and every request has ended.
    ///
    /// Must run in a `LocalSet` on a current-thread runtime.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be used.
    pub async fn run(self) -> io::Result<()> {
        let listener = TcpListener::from_std(self.listener)?;
        let context = Rc::new(self.context);
        let (phase, phases) = watch::channel(Phase::Serving);
        let inbox_task = InboxTask {
            inbox: self.inbox,
            context: context.clone(),
            phase,
        };
        let inbox_task = tokio::task::spawn_local(inbox_task.run());
        let connections = accept(listener, context.clone(), phases).await;
        // Every connection holds a permit until it has ended.
        let all = u32::try_from(context.limit.connections).unwrap_or(u32::MAX);
        connections.acquire_many(all).await.ok();
        // Requests that may run only once can outlive the connections of their callers.
        while context.waiters.len() > 0 {
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        inbox_task.abort();
        Ok(())
    }
}
