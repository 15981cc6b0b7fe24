//! One connection that is opened again after a failure.

use crate::Failure;
use bytes::Bytes;
use core::{
    future::Future,
    net::SocketAddr,
    time::Duration, //
};
use http_body_util::{
    BodyExt,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper::{
    Request,
    StatusCode,
    client::conn::http1, //
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::timeout, //
};

/// Time without an acknowledgement after which the system gives up a connection.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// A request with its whole body.
pub type Message = Request<Full<Bytes>>;

/// Bounds of one call.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for opening a connection.
    pub connect_timeout: Duration,
    /// Time from sending the request to the end of the answer.
    pub response_timeout: Duration,
    /// Largest answer in bytes.
    pub max_response_bytes: usize,
}

/// The whole answer to one request.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Why one connection gave no whole answer.
enum Refused {
    /// It did not begin to send the request.
    Unsent(Box<Message>, String),
    /// The request may have taken effect.
    Failed(Failure),
}

/// A live connection; its end also ends the task that drives it.
struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// One connection that is opened again after a failure.
pub struct Connection {
    address: SocketAddr,
    link: Option<Link>,
}

impl Connection {
    /// Makes a connection that opens at its first call. It must be used on a `tokio` runtime.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            link: None,
        }
    }

    /// Returns the address of the other side.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection is open, as far as it has noticed.
    pub fn is_open(&self) -> bool {
        let link = self.link.as_ref();
        link.is_some_and(|link| !link.sender.is_closed())
    }

    /// Sends a request and reads the whole answer. The connection stays open only after a whole answer.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have taken effect.
    pub async fn call(&mut self, request: Message, limits: Limits) -> Result<Response, Failure> {
        if self.link.is_some() {
            // Lets the task of the connection see that the other side closed it; otherwise the request would be
            // written to it and count as sent.
            tokio::task::yield_now().await;
        }
        let unsent = match self.link.take() {
            // The other side may have closed the connection while it was idle; the request then goes out at once on
            // a new one, since it was not sent.
            Some(link) => match self.attempt(link, request, limits).await {
                Err(Refused::Unsent(request, _)) => request,
                Err(Refused::Failed(failure)) => return Err(failure),
                Ok(response) => return Ok(response),
            },
            None => Box::new(request),
        };
        let link = self.connect(limits.connect_timeout).await?;
        let result = self.attempt(link, *unsent, limits).await;
        result.map_err(|refused| match refused {
            Refused::Unsent(_, reason) => Failure::Unsent(reason),
            Refused::Failed(failure) => failure,
        })
    }

    async fn attempt(
        &mut self,
        mut link: Link,
        request: Message,
        limits: Limits,
    ) -> Result<Response, Refused> {
        let exchange = exchange(&mut link.sender, request, limits.max_response_bytes);
        let Ok(result) = timeout(limits.response_timeout, exchange).await else {
            return Err(Refused::Failed(Failure::Timeout {
                sent: true,
                after: limits.response_timeout,
            }));
        };
        let response = result?;
        self.link = Some(link);
        Ok(response)
    }

    async fn connect(&self, limit: Duration) -> Result<Link, Failure> {
        let stream = within(limit, TcpStream::connect(self.address)).await?;
        configure(&stream).map_err(|error| Failure::Unsent(error.to_string()))?;
        let handshake = http1::handshake(TokioIo::new(stream));
        let (sender, driver) = within(limit, handshake).await?;
        let driver = tokio::spawn(async move {
            // An error of the driver also reaches the request in flight, which reports it.
            let _ = driver.await;
        });
        let driver = driver.abort_handle();
        Ok(Link { sender, driver })
    }
}

/// Sets the options of a new connection.
fn configure(stream: &TcpStream) -> std::io::Result<()> {
    // Without this, a small request waits for the acknowledgement of the one before.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    // A request that was given up must not arrive later: closing discards what a partition holds back, also when the
    // process is killed.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: Message,
    limit: usize,
) -> Result<Response, Refused> {
    let answer = match sender.try_send_request(request).await {
        Ok(answer) => answer,
        Err(mut error) => {
            // `hyper` gives back a message that it did not begin to write.
            let message = error.take_message();
            let reason = error.into_error().to_string();
            return Err(match message {
                Some(request) => Refused::Unsent(Box::new(request), reason),
                None => Refused::Failed(Failure::ConnectionLost(reason)),
            });
        }
    };
    let status = answer.status();
    let body = Limited::new(answer.into_body(), limit).collect().await;
    match body {
        Ok(body) => Ok(Response {
            status,
            body: body.to_bytes(),
        }),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(Refused::Failed(Failure::ResponseTooLarge(limit)))
        }
        Err(error) => Err(Refused::Failed(Failure::ConnectionLost(error.to_string()))),
    }
}

async fn within<T, E: ToString>(
    limit: Duration,
    attempt: impl Future<Output = Result<T, E>>,
) -> Result<T, Failure> {
    match timeout(limit, attempt).await {
        Ok(result) => result.map_err(|error| Failure::Unsent(error.to_string())),
        Err(_) => Err(Failure::Timeout {
            sent: false,
            after: limit,
        }),
    }
}
