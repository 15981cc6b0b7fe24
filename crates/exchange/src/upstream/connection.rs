//! Idle connections by address.

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

/// Longest time to establish a connection within a deployment, where a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections that are kept for one address; the 8 slots of a runner never need more.
const IDLE_LIMIT: usize = 8;
/// Addresses with idle connections; above this the idle connections of an address are closed at once.
const ADDRESS_LIMIT: usize = 4_096;

/// Idle connections of one exchange thread.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
}

/// A connection that is ready for a request; dropping it closes it at once, also in the middle of an answer.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<RequestBody>,
    /// Whether the connection has carried a request before; its peer may have closed it since.
    pub reused: bool,
    /// Other end of the connection.
    pub address: SocketAddr,
    /// Task that drives the connection.
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Otherwise the task would go on until somebody has read the rest of the answer.
        self.task.abort();
    }
}

impl Connections {
    /// Makes an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an idle connection to `address` if there is one.
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
    /// Fails if the address refuses the connection or does not accept it in time.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // Errors of the connection reach the request that runs on it.
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

    /// Keeps a connection whose answer has been read to its end, as soon as it is ready again.
    pub fn put_back(&self, mut connection: Connection) {
        let connections = self.clone();
        tokio::task::spawn_local(async move {
            if connection.sender.ready().await.is_ok() {
                connections.keep(connection);
            }
        });
    }

    /// Closes idle connections to addresses for which `keep` does not hold.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.idle.borrow_mut().retain(|address, _| keep(address));
    }

    fn keep(&self, mut connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= ADDRESS_LIMIT && !idle.contains_key(&connection.address) {
            return;
        }
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < IDLE_LIMIT {
            connection.reused = true;
            connections.push(connection);
        }
    }
}
