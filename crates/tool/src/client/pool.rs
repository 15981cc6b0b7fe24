//! Pool of idle connections to one address.

use super::{
    Answer,
    Connection,
    Failure, //
};
use bytes::Bytes;
use core::{
    cell::RefCell,
    net::SocketAddr,
    time::Duration, //
};
use http_body_util::Full;
use hyper::Request;
use std::time::Instant;

/// Most idle connections that are kept; further ones are closed.
const IDLE_CONNECTIONS_MAX: usize = 256;

/// Longest time for which an idle connection is kept.
///
/// An entry that shuts down closes idle connections after its shutdown delay, and a request sent at that moment is
/// lost. The first answer within the delay says `Connection: close`, so a caller whose idle time is shorter than the
/// delay has no connection left by then.
const IDLE_TIME_MAX: Duration = Duration::from_millis(200);

/// Connections to one address, reused by the requests of one thread.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    /// Idle connections with the time since when they are idle, in ascending order.
    idle: RefCell<Vec<(Instant, Connection)>>,
}

impl Pool {
    /// Makes an empty pool, which opens connections on demand.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::new(Vec::new()),
        }
    }

    /// Sends a request on an idle connection or on a new one. If an idle connection turns out to be closed before any
    /// part of the request was sent, the next one is tried.
    ///
    /// # Errors
    ///
    /// Distinguishes a request that was not sent from one that may have been sent.
    pub async fn send(&self, mut request: Request<Full<Bytes>>) -> Result<Answer, Failure> {
        loop {
            let idle = self.take_idle();
            let reused = idle.is_some();
            let connection = match idle {
                Some(connection) => connection,
                None => match Connection::open(self.address).await {
                    Ok(connection) => connection,
                    Err(_) => return Err(Failure::Unsent(Box::new(request))),
                },
            };
            match connection.send(request).await {
                Ok((answer, connection)) => {
                    self.put_back(connection);
                    return Ok(answer);
                }
                Err(Failure::Unsent(unsent)) if reused => request = *unsent,
                Err(failure) => return Err(failure),
            }
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let expired = idle.partition_point(|(since, _)| since.elapsed() >= IDLE_TIME_MAX);
        idle.drain(..expired);
        loop {
            let (_, connection) = idle.pop()?;
            if !connection.is_closed() {
                return Some(connection);
            }
        }
    }

    fn put_back(&self, connection: Option<Connection>) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.extend(connection.map(|connection| (Instant::now(), connection)));
        }
    }
}
