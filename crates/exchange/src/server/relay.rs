//! Streaming of an answer body from the upstream to the caller.

use super::{
    outbox::Outbox,
    waiter::Waiter, //
};
use crate::{
    Message,
    message::Answer,
    upstream::{
        Connection,
        Connections, //
    },
};
use bytes::Bytes;
use core::{
    fmt,
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
};
use hyper::body::{
    Body,
    Frame,
    Incoming,
    SizeHint, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::AttemptResult;
use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    sync::Arc, //
};
use tokio::{
    task::AbortHandle,
    time::{
        Instant,
        sleep_until, //
    },
};

/// Answer body that is streamed from the upstream; reports the result of the attempt at its end.
///
/// The slot of the upstream is released only when the complete body has arrived. If the upstream disconnects or takes
/// too long, the body ends with an error, so that the caller never mistakes a truncated answer for a complete one.
pub struct Relay {
    /// Data that was read before the relay began.
    prefix: VecDeque<Bytes>,
    incoming: Incoming,
    guard: Rc<RefCell<AttemptGuard>>,
    /// Task that ends the attempt when it times out; `None` if the complete answer had arrived before.
    timeout_task: Option<AbortHandle>,
}

/// Guard that reports the result of an attempt exactly once, at the latest when it is dropped.
pub(super) struct AttemptGuard {
    pub(super) waiter: Option<Waiter>,
    pub(super) outbox: Outbox,
    pub(super) connections: Connections,
    pub(super) connection: Option<Connection>,
    /// Time from the start of the attempt to the head of the answer.
    pub(super) latency: Duration,
    /// Whether the upstream answered with a server error.
    pub(super) failed: bool,
    /// Whether the result has been reported.
    pub(super) reported: bool,
    /// Whether the attempt timed out before the complete answer had arrived.
    pub(super) expired: bool,
    /// Whether the relay waits for the upstream, and not for the caller to read.
    pub(super) awaiting_upstream: bool,
    /// Answer to store for repeats of the same key.
    pub(super) answer: Option<Arc<Answer>>,
}

/// Reason why an answer is incomplete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The connection to the upstream was lost.
    #[error("the upstream closed the connection in the middle of its answer")]
    Lost,
    /// The attempt timed out.
    #[error("the upstream did not finish its answer in time")]
    TimedOut,
}

impl AttemptGuard {
    /// Reports the result of the attempt to the dispatch thread; only the first call has an effect.
    pub(super) fn report(&mut self, result: AttemptResult) {
        if core::mem::replace(&mut self.reported, true) {
            return;
        }
        let Some(waiter) = &self.waiter else {
            return;
        };
        let caller = waiter.handle;
        let answer = self.answer.take();
        self.outbox.send(Message::Finish {
            caller,
            result,
            answer,
        });
    }

    /// Sets the answer that is sent along with the result.
    pub(super) fn store_answer(&mut self, answer: Answer) {
        self.answer = Some(Arc::new(answer));
    }

    /// Ends an attempt whose complete answer has arrived; the connection can be reused.
    pub(super) fn complete(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.connections.put_back(connection);
        }
        let result = match self.failed {
            true => AttemptResult::Failed(self.latency),
            false => AttemptResult::Answered(self.latency),
        };
        self.report(result);
    }
}

impl AttemptGuard {
    /// Ends an attempt and cancels the request: the caller has received part of the answer, so no retry can follow.
    fn abandon(&mut self, result: AttemptResult) {
        // Dropping the connection closes it, with the rest of the answer unread.
        self.connection = None;
        if self.reported {
            return;
        }
        self.report(result);
        if let Some(waiter) = &self.waiter {
            let caller = waiter.handle;
            self.outbox.send(Message::Cancel { caller });
        }
    }

    /// Ends an attempt that has timed out; this counts as a failure of the upstream only if the relay waited for it.
    fn expire(&mut self) {
        if self.connection.is_none() {
            // The complete answer has arrived; only the caller has not read it yet.
            return;
        }
        self.expired = true;
        self.abandon(match self.awaiting_upstream {
            true => AttemptResult::TimedOut,
            false => AttemptResult::Cancelled,
        });
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.report(AttemptResult::Cancelled);
    }
}

impl Relay {
    pub(super) fn new(
        prefix: VecDeque<Bytes>,
        incoming: Incoming,
        deadline: Instant,
        guard: AttemptGuard,
    ) -> Self {
        let mut relay = Self {
            prefix,
            incoming,
            guard: Rc::new(RefCell::new(guard)),
            timeout_task: None,
        };
        relay.complete_if_ended();
        if !relay.incoming.is_end_stream() {
            relay.timeout_task = Some(spawn_timeout(&relay.guard, deadline));
        }
        relay
    }

    /// Ends the attempt if the complete body has arrived.
    ///
    /// When hyper knows the length of a body, it does not poll again after the last frame.
    fn complete_if_ended(&mut self) {
        if self.incoming.is_end_stream() {
            self.guard.borrow_mut().complete();
        }
    }

    fn poll_incoming(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        // `expire` has closed the connection, after which `incoming` would end like a complete body.
        if self.guard.borrow().expired {
            return Poll::Ready(Some(Err(Error::TimedOut)));
        }
        let frame = Pin::new(&mut self.incoming).poll_frame(cx);
        self.guard.borrow_mut().awaiting_upstream = frame.is_pending();
        Poll::Ready(match ready!(frame) {
            // Trailers are the last frame, and hyper does not poll again after them.
            Some(Ok(frame)) if frame.is_trailers() => {
                self.guard.borrow_mut().complete();
                Some(Ok(frame))
            }
            Some(Ok(frame)) => {
                self.complete_if_ended();
                Some(Ok(frame))
            }
            Some(Err(_)) => {
                self.guard.borrow_mut().abandon(AttemptResult::Lost);
                Some(Err(Error::Lost))
            }
            None => {
                self.guard.borrow_mut().complete();
                None
            }
        })
    }
}

/// Spawns a task that ends the attempt at `deadline`, even if the caller does not read and so nothing polls the body.
fn spawn_timeout(guard: &Rc<RefCell<AttemptGuard>>, deadline: Instant) -> AbortHandle {
    let guard = Rc::downgrade(guard);
    let timeout_task = tokio::task::spawn_local(async move {
        sleep_until(deadline).await;
        if let Some(guard) = guard.upgrade() {
            guard.borrow_mut().expire();
        }
    });
    timeout_task.abort_handle()
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(timeout_task) = &self.timeout_task {
            timeout_task.abort();
        }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let this = self.get_mut();
        match this.prefix.pop_front() {
            Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
            None => this.poll_incoming(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.guard.borrow().reported && self.prefix.is_empty() && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let held: usize = self.prefix.iter().map(Bytes::len).sum();
        let held = held as u64;
        let rest = self.incoming.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower().saturating_add(held));
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper.saturating_add(held));
        }
        hint
    }
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay").finish_non_exhaustive()
    }
}
