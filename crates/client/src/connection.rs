//! An HTTP/1.1 client connection that reconnects after a failure.

use crate::{
    Failure,
    Fault, //
};
use bytes::Bytes;
use core::{
    future::Future,
    net::SocketAddr,
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    time::Duration, //
};
use http_body_util::{
    BodyExt,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper::{
    HeaderMap,
    Request,
    StatusCode,
    body::{
        Frame,
        Incoming, //
    },
    client::conn::http1, //
};
use hyper_util::rt::TokioIo;
use sassafrascrank_base::fault::Cause;
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{
        sleep,
        timeout, //
    },
};

/// Time that sent data may stay unacknowledged before the operating system closes the connection.
const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_secs(3);

/// A request with its whole body.
pub type Message = Request<Full<Bytes>>;

/// Limits of one call.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for opening a connection.
    pub connect_timeout: Duration,
    /// Time from sending the request to the end of the response, or only to its head if `transfer` is set.
    pub response_timeout: Duration,
    /// Time limits of a large response body; `None` if the whole response is small.
    pub transfer: Option<Transfer>,
    /// Largest response body in bytes.
    pub max_response_bytes: usize,
}

/// Time limits of a response body that may be large.
///
/// How long such a body takes depends on the link. A limit on the whole response would end transfers that make progress,
/// and repeating them would fail in the same way.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// Longest time without a further part of the body.
    pub stall_timeout: Duration,
    /// Time for the whole body. It bounds a transfer that goes on without coming to an end.
    pub total_timeout: Duration,
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Why a request got no complete response on one connection.
enum AttemptError {
    /// No byte of the request was sent, so it can be sent again on another connection.
    Unsent(Box<Message>, Fault),
    /// The request may have taken effect.
    Failed(Failure),
}

/// An open connection. Dropping it stops the task that drives it, which closes the socket.
struct Transport {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A client connection that reconnects after a failure.
pub struct Connection {
    address: SocketAddr,
    transport: Option<Transport>,
}

impl Connection {
    /// Creates a connection that opens at its first call. It must be used on a `tokio` runtime.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            transport: None,
        }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection is open. A closing by the server may not have been noticed yet.
    pub fn is_open(&self) -> bool {
        let transport = self.transport.as_ref();
        transport.is_some_and(|transport| !transport.sender.is_closed())
    }

    /// Sends a request and reads the whole response. After any failure the connection is closed.
    ///
    /// # Errors
    ///
    /// The failure tells whether the request may have taken effect, see [`Failure::may_have_effect`].
    pub async fn call(&mut self, request: Message, limits: Limits) -> Result<Response, Failure> {
        if self.transport.is_some() {
            // Lets the connection's task notice that the server has closed it. Otherwise the request would be written
            // to the closed connection and count as sent.
            tokio::task::yield_now().await;
        }
        let unsent = match self.transport.take() {
            // The server may have closed the connection while it was idle. The request was not sent then, so it is
            // sent on a new connection.
            Some(transport) => match self.attempt(transport, request, limits).await {
                Err(AttemptError::Unsent(request, _)) => request,
                Err(AttemptError::Failed(failure)) => return Err(failure),
                Ok(response) => return Ok(response),
            },
            None => Box::new(request),
        };
        let transport = self.connect(limits.connect_timeout).await?;
        let result = self.attempt(transport, *unsent, limits).await;
        result.map_err(|error| match error {
            AttemptError::Unsent(_, fault) => Failure::Unsent(fault),
            AttemptError::Failed(failure) => failure,
        })
    }

    async fn attempt(
        &mut self,
        mut transport: Transport,
        request: Message,
        limits: Limits,
    ) -> Result<Response, AttemptError> {
        let response = exchange(&mut transport.sender, request, limits).await?;
        self.transport = Some(transport);
        Ok(response)
    }

    async fn connect(&self, limit: Duration) -> Result<Transport, Failure> {
        let stream = connect_within(limit, TcpStream::connect(self.address)).await?;
        let unusable = |error| Failure::Unsent(Fault::of_connect(&error));
        let stream = stream.map_err(unusable)?;
        set_socket_options(&stream).map_err(unusable)?;
        let handshake = http1::handshake(TokioIo::new(stream));
        let (sender, driver) = connect_within(limit, handshake).await?.map_err(|error| {
            let fault = Fault::new(Cause::ConnectFailed, error);
            Failure::Unsent(fault)
        })?;
        let driver = tokio::spawn(async move {
            // The request in flight gets the same error and reports it.
            let _ = driver.await;
        });
        let driver = driver.abort_handle();
        Ok(Transport { sender, driver })
    }
}

/// Sets the options of a new socket.
fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    // Nagle's algorithm would hold back a small request until the one before is acknowledged.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    // A request that timed out must not arrive later. With a linger time of zero, closing the socket discards data that
    // a network partition has held back, also when the process is killed.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT))
}

/// Sends a request and reads the whole response within the limits.
async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: Message,
    limits: Limits,
) -> Result<Response, AttemptError> {
    let received = AtomicUsize::new(0);
    let expired = |after| {
        AttemptError::Failed(Failure::Timeout {
            sent: true,
            after,
            received: received.load(Ordering::Relaxed),
        })
    };
    let time_limit = limits.response_timeout;
    let head = send(sender, request);
    let Some(transfer) = limits.transfer else {
        let whole = async { collect(head.await?, limits.max_response_bytes, &received).await };
        let whole = timeout(time_limit, whole).await;
        return whole.map_err(|_| expired(time_limit))?;
    };
    let head = timeout(time_limit, head).await;
    let head = head.map_err(|_| expired(time_limit))??;
    tokio::select! {
        biased;
        response = collect(head, limits.max_response_bytes, &received) => response,
        after = give_up(transfer, &received) => Err(expired(after)),
    }
}

/// Sends a request and reads the head of the response.
async fn send(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: Message,
) -> Result<hyper::Response<Incoming>, AttemptError> {
    sender.try_send_request(request).await.map_err(|mut error| {
        // `hyper` returns the request if it has not begun to write it.
        let message = error.take_message();
        let error = error.into_error();
        match message {
            Some(request) => {
                let fault = Fault::new(Cause::ClosedIdle, error);
                AttemptError::Unsent(Box::new(request), fault)
            }
            None => {
                let fault = Fault::of_connection(&error);
                AttemptError::Failed(Failure::ConnectionLost(fault))
            }
        }
    })
}

/// Reads the body of a response. Counts its bytes in `received`.
async fn collect(
    response: hyper::Response<Incoming>,
    limit: usize,
    received: &AtomicUsize,
) -> Result<Response, AttemptError> {
    let status = response.status();
    let headers = response.headers().clone();
    let count = |frame: Frame<Bytes>| {
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        received.fetch_add(bytes, Ordering::Relaxed);
        frame
    };
    let body = Limited::new(response.into_body(), limit).map_frame(count);
    match body.collect().await {
        Ok(body) => Ok(Response {
            status,
            headers,
            body: body.to_bytes(),
        }),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(AttemptError::Failed(Failure::ResponseTooLarge(limit)))
        }
        Err(error) => {
            let fault = Fault::of_connection(&*error);
            Err(AttemptError::Failed(Failure::ConnectionLost(fault)))
        }
    }
}

/// Waits until a transfer, which counts its bytes in `received`, stalls or takes too long. Returns the time limit that it
/// has exceeded.
async fn give_up(transfer: Transfer, received: &AtomicUsize) -> Duration {
    let watch = async {
        let mut before = received.load(Ordering::Relaxed);
        loop {
            sleep(transfer.stall_timeout).await;
            let after = received.load(Ordering::Relaxed);
            if after == before {
                return;
            }
            before = after;
        }
    };
    match timeout(transfer.total_timeout, watch).await {
        Ok(()) => transfer.stall_timeout,
        Err(_) => transfer.total_timeout,
    }
}

async fn connect_within<T>(
    limit: Duration,
    attempt: impl Future<Output = T>,
) -> Result<T, Failure> {
    timeout(limit, attempt).await.map_err(|_| Failure::Timeout {
        sent: false,
        after: limit,
        received: 0,
    })
}
