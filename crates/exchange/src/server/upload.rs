//! Streaming of a request body from the caller to the upstream.

use bytes::Bytes;
use core::{
    fmt,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
};
use hyper::body::{
    Body,
    Frame,
    Incoming,
    SizeHint, //
};
use std::{
    cell::Cell,
    rc::Rc, //
};
use tokio::time::{
    Instant,
    Sleep,
    sleep_until, //
};

/// Request body that is streamed from the caller, until the attempt times out.
///
/// Without the time limit, a caller that stops sending would occupy the connection to the upstream indefinitely.
pub struct Upload {
    incoming: Incoming,
    timeout: Pin<Box<Sleep>>,
    upload_state: Rc<Cell<UploadState>>,
}

/// State of a streamed request body after its last poll; tells whether the caller caused the end of an attempt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum UploadState {
    /// A frame or the end of the body was available, or the body has not been polled.
    #[default]
    Ready,
    /// The caller has not sent the next frame yet.
    Waiting,
    /// Reading from the caller failed.
    Broken,
}

/// Reason why a request body is incomplete; it makes hyper abort the request, so the upstream sees no complete body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The connection of the caller was lost.
    #[error("the caller closed its connection in the middle of the body")]
    Lost,
    /// The attempt timed out.
    #[error("the caller did not send its body before the attempt ended")]
    TimedOut,
}

impl Upload {
    pub(super) fn new(
        incoming: Incoming,
        deadline: Instant,
        upload_state: Rc<Cell<UploadState>>,
    ) -> Self {
        Self {
            incoming,
            timeout: Box::pin(sleep_until(deadline)),
            upload_state,
        }
    }

    pub(super) fn into_incoming(self) -> Incoming {
        self.incoming
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let this = self.get_mut();
        if this.timeout.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(Error::TimedOut)));
        }
        let frame = Pin::new(&mut this.incoming).poll_frame(cx);
        this.upload_state.set(match &frame {
            Poll::Pending => UploadState::Waiting,
            Poll::Ready(Some(Err(_))) => UploadState::Broken,
            Poll::Ready(_) => UploadState::Ready,
        });
        frame.map(|frame| frame.map(|frame| frame.map_err(|_| Error::Lost)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upload").finish_non_exhaustive()
    }
}
