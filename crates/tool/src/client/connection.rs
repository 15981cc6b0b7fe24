//! One HTTP/1.1 connection.

use bytes::Bytes;
use core::net::SocketAddr;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    HeaderMap,
    Request,
    StatusCode,
    client::conn::http1, //
};
use hyper_util::rt::TokioIo;
use std::io;
use tokio::net::TcpStream;

/// Largest body of an answer in bytes; far more than 2,000 records of a time line need.
const BODY_BYTES_MAX: usize = 16 << 20;

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its complete body.
    pub body: Bytes,
}

/// Failure of a request.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Failure {
    /// The connection was closed before any part of the request was sent; holds the request, so that it can be sent
    /// again.
    #[error("the connection was closed before the request was sent")]
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection broke when the request may have been sent already, or in the middle of the answer.
    #[error("the connection broke before the whole answer had come: {0}")]
    Interrupted(String),
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects; a task of the current `tokio` runtime drives the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be opened.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        // The request that is in flight reports an error of the connection too.
        tokio::spawn(async move { connection.await.ok() });
        Ok(Self { sender })
    }

    /// Tells whether the other end has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads the complete answer; also returns the connection if it can be reused.
    ///
    /// # Errors
    ///
    /// Distinguishes a request that was not sent from one that may have been sent.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Answer, Option<Self>), Failure> {
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(request) => Failure::Unsent(Box::new(request)),
            None => Failure::Interrupted(error.error().to_string()),
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, BODY_BYTES_MAX).collect().await;
        let body = body.map_err(|error| Failure::Interrupted(error.to_string()))?;
        let answer = Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        };
        let reusable = self.sender.ready().await.is_ok();
        Ok((answer, reusable.then_some(self)))
    }
}
