//! One connection to a peer; the client replaces it after a failure.

use super::{
    Error,
    Limit, //
};
use crate::wire::{
    self,
    ConnectionState, //
};
use bytes::Bytes;
use core::{
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
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::timeout, //
};

/// Largest body of an unsuccessful answer in bytes.
const REASON_LIMIT: usize = 1 << 10;

/// Bounds of one exchange.
#[derive(Clone, Copy)]
pub(super) struct Bound {
    /// Time from sending the request to the end of the answer.
    pub(super) time: Duration,
    /// Bytes of a successful answer.
    pub(super) bytes: usize,
}

/// A connection with the task that drives it.
pub(super) struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    pub(super) state: ConnectionState,
}

/// Why a call has no answer.
pub(super) enum Failure {
    /// The peer had closed the connection, and nothing was sent.
    Unsent(Error),
    /// Any other failure.
    Call(Error),
}

impl Connection {
    pub(super) async fn open(address: SocketAddr, limit: &Limit) -> Result<Self, Error> {
        let late = |_| Error::Timeout {
            address,
            after: limit.connect,
        };
        let connect = async {
            let stream = TcpStream::connect(address).await?;
            // Without this, Nagle's algorithm holds a small report back until the one before is acknowledged.
            stream.set_nodelay(true)?;
            Ok::<_, std::io::Error>(stream)
        };
        let stream = timeout(limit.connect, connect).await.map_err(late)?;
        let stream = stream.map_err(|error| unreachable(address, error))?;
        let handshake = http1::handshake(TokioIo::new(stream));
        let (sender, driver) = handshake
            .await
            .map_err(|error| unreachable(address, error))?;
        let driver = tokio::spawn(async move {
            // The request in flight fails with the same error and returns it.
            let _ = driver.await;
        });
        Ok(Self {
            address,
            sender,
            driver: driver.abort_handle(),
            state: ConnectionState::default(),
        })
    }

    /// Returns whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads the whole answer within the bounds.
    pub(super) async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        bound: Bound,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let address = self.address;
        match timeout(bound.time, self.exchange(request, bound.bytes)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Call(Error::Timeout {
                address,
                after: bound.time,
            })),
        }
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let address = self.address;
        let answer = match self.sender.try_send_request(request).await {
            Ok(answer) => answer,
            Err(mut error) => {
                // `hyper` gives back a message that it did not begin to write.
                let unsent = error.take_message().is_some();
                let error = unreachable(address, error.into_error());
                return Err(if unsent {
                    Failure::Unsent(error)
                } else {
                    Failure::Call(error)
                });
            }
        };
        let status = answer.status();
        let limit = if status.is_success() {
            limit
        } else {
            REASON_LIMIT
        };
        let body = Limited::new(answer.into_body(), limit).collect().await;
        match body {
            Ok(body) => Ok((status, body.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => {
                let value = format!("more than {limit} bytes");
                let remedy = format!("answer with at most {limit} bytes");
                let error = wire::Error::new("body", value, remedy);
                Err(Failure::Call(Error::Malformed(error)))
            }
            Err(error) => Err(Failure::Call(unreachable(address, error))),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Without this, the socket would stay open until a late answer arrives.
        self.driver.abort();
    }
}

fn unreachable(address: SocketAddr, error: impl ToString) -> Error {
    Error::Unreachable {
        address,
        reason: error.to_string(),
    }
}
