//! Body of an answer on its way from the upstream to the caller.

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

/// Passes the frames of an answer on and reports how the answer ended.
///
/// The slot of the upstream is free only when the whole body has arrived. When the upstream breaks off or takes too
/// long, the body ends with an error, so the caller never takes a part for the whole.
pub struct Relay {
    /// Frames that were read before the relay began.
    head: VecDeque<Bytes>,
    incoming: Incoming,
    ending: Rc<RefCell<Ending>>,
    /// Ends the attempt in time; `None` if the whole answer had arrived before.
    watch: Option<AbortHandle>,
}

/// What has to be done when an answer ends, on every path out of it.
pub(super) struct Ending {
    pub(super) waiter: Option<Waiter>,
    pub(super) outbox: Outbox,
    pub(super) connections: Connections,
    pub(super) connection: Option<Connection>,
    /// Time from sending the request to the head of the answer.
    pub(super) latency: Duration,
    /// Whether the upstream answered with a server error.
    pub(super) failed: bool,
    pub(super) reported: bool,
    /// Whether the attempt's time was over before the whole answer had arrived.
    pub(super) expired: bool,
    /// Whether the last thing that was waited for is the upstream, and not the caller.
    pub(super) starved: bool,
    /// Answer to keep for repeats of the same key.
    pub(super) answer: Option<Arc<Answer>>,
}

/// The upstream broke off or was too slow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The connection broke.
    #[error("the upstream closed the connection in the middle of its answer")]
    Lost,
    /// The attempt took too long.
    #[error("the upstream did not finish its answer in time")]
    TimedOut,
}

impl Ending {
    /// Reports the end of the attempt once; later calls do nothing.
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

    /// Sends `answer` along with the report.
    pub(super) fn keep(&mut self, answer: Answer) {
        self.answer = Some(Arc::new(answer));
    }

    /// Ends an attempt whose whole answer has arrived.
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

impl Ending {
    /// Ends an attempt whose answer the caller has got a part of, so that no other attempt can follow.
    fn give_up(&mut self, result: AttemptResult) {
        // Closes the connection, whatever is still on its way there.
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

    /// Ends an attempt whose time is over; only a wait for the upstream counts against the upstream.
    fn expire(&mut self) {
        if self.connection.is_none() {
            // The whole answer has arrived and only waits for its caller.
            return;
        }
        self.expired = true;
        self.give_up(match self.starved {
            true => AttemptResult::TimedOut,
            false => AttemptResult::Cancelled,
        });
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        self.report(AttemptResult::Cancelled);
    }
}

impl Relay {
    pub(super) fn new(
        head: VecDeque<Bytes>,
        incoming: Incoming,
        until: Instant,
        ending: Ending,
    ) -> Self {
        let mut relay = Self {
            head,
            incoming,
            ending: Rc::new(RefCell::new(ending)),
            watch: None,
        };
        relay.complete_at_end();
        if !relay.incoming.is_end_stream() {
            relay.watch = Some(watch(&relay.ending, until));
        }
        relay
    }

    /// Ends the attempt once the whole body has arrived.
    ///
    /// A server that knows the length of a body does not ask for what follows its last frame.
    fn complete_at_end(&mut self) {
        if self.incoming.is_end_stream() {
            self.ending.borrow_mut().complete();
        }
    }

    fn poll_incoming(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        // The connection was closed here, and then the body ends like a whole one.
        if self.ending.borrow().expired {
            return Poll::Ready(Some(Err(Error::TimedOut)));
        }
        let frame = Pin::new(&mut self.incoming).poll_frame(cx);
        self.ending.borrow_mut().starved = frame.is_pending();
        Poll::Ready(match ready!(frame) {
            // Nothing follows trailers, and a server does not ask for what comes after them.
            Some(Ok(frame)) if frame.is_trailers() => {
                self.ending.borrow_mut().complete();
                Some(Ok(frame))
            }
            Some(Ok(frame)) => {
                self.complete_at_end();
                Some(Ok(frame))
            }
            Some(Err(_)) => {
                self.ending.borrow_mut().give_up(AttemptResult::Lost);
                Some(Err(Error::Lost))
            }
            None => {
                self.ending.borrow_mut().complete();
                None
            }
        })
    }
}

/// Ends the attempt in time even if the caller does not read, and so nobody asks for the rest of the answer.
fn watch(ending: &Rc<RefCell<Ending>>, until: Instant) -> AbortHandle {
    let ending = Rc::downgrade(ending);
    let watch = tokio::task::spawn_local(async move {
        sleep_until(until).await;
        if let Some(ending) = ending.upgrade() {
            ending.borrow_mut().expire();
        }
    });
    watch.abort_handle()
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(watch) = &self.watch {
            watch.abort();
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
        match this.head.pop_front() {
            Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
            None => this.poll_incoming(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ending.borrow().reported && self.head.is_empty() && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let held: usize = self.head.iter().map(Bytes::len).sum();
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
