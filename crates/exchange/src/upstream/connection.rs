//! Connections to upstreams, and reuse of idle ones.

use crate::server::RequestBody;
use core::net::SocketAddr;
use hyper::client::conn::http1::{
    SendRequest,
    handshake, //
};
use hyper_util::rt::TokioIo;
use sassafrascrank_base::prelude::*;
use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    rc::Rc, //
};
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::timeout, //
};

/// Longest time to establish a connection; within a deployment, a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Most idle connections that are kept for one address. A runner has 8 slots, so no more are in use at once.
const IDLE_LIMIT_PER_ADDRESS: usize = 8;
/// Most addresses with idle connections; a connection to a further address is closed after its answer.
const ADDRESS_LIMIT: usize = 4_096;

/// Idle connections of one exchange thread, by address.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
}

/// HTTP/1.1 connection that is ready for a request.
///
/// Dropping it closes the connection at once, even in the middle of an answer.
#[derive(Debug)]
pub struct Connection {
    /// Sender for requests on the connection.
    pub sender: SendRequest<RequestBody>,
    /// Whether the connection has carried a request before; its peer may have closed it since.
    pub reused: bool,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Task that drives the connection.
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Without this, the task would keep the connection open until the rest of the answer has been read.
        self.task.abort();
    }
}

impl Connections {
    /// Makes a set without idle connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes and returns an open idle connection to `address` if there is one.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Establishes a new connection to `address`.
    ///
    /// # Errors
    ///
    /// Fails if the upstream refuses the connection or does not accept it in time.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // An error of the connection is also returned to the request that uses it.
        let task = tokio::task::spawn_local(async move { connection.await.ok() });
        let task = task.abort_handle();
        sender.ready().await.map_err(io::Error::other)?;
        Ok(Connection {
            sender,
            reused: false,
            address,
            task,
        })
    }

    /// Returns a connection whose answer was read completely to the idle connections, once it is ready again.
    pub fn put_back(&self, mut connection: Connection) {
        let connections = self.clone();
        tokio::task::spawn_local(async move {
            if connection.sender.ready().await.is_ok() {
                connections.keep_idle(connection);
            }
        });
    }

    /// Closes idle connections to addresses for which `keep` does not hold.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.idle.borrow_mut().retain(|address, _| keep(address));
    }

    /// Adds an idle connection, or closes it if a limit is reached.
    fn keep_idle(&self, mut connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= ADDRESS_LIMIT && !idle.contains_key(&connection.address) {
            return;
        }
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < IDLE_LIMIT_PER_ADDRESS {
            connection.reused = true;
            connections.push(connection);
        }
    }
}
