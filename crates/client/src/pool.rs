//! A pool of connections with a limit for each address.

use crate::{
    Connection,
    Failure,
    Fault,
    Limits,
    Message,
    Response, //
};
use core::{
    net::SocketAddr,
    time::Duration, //
};
use sassafrascrank_base::fault::Cause;
use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc, //
};
use tokio::{
    sync::Semaphore,
    time::timeout, //
};

/// Connections to one address.
struct AddressPool {
    permits: Rc<Semaphore>,
    idle: Vec<Connection>,
}

/// Connections to many addresses, with a limit for each address. The pool can be used by one thread only.
pub struct Pool {
    addresses: RefCell<HashMap<SocketAddr, AddressPool>>,
    max_per_address: usize,
    acquire_timeout: Duration,
}

impl Pool {
    /// Creates a pool of at most `max_per_address` connections to each address. A request that waits longer than
    /// `acquire_timeout` for a connection is not sent.
    pub fn new(max_per_address: usize, acquire_timeout: Duration) -> Self {
        Self {
            addresses: RefCell::default(),
            max_per_address,
            acquire_timeout,
        }
    }

    /// Sends a request on an idle connection or on a new one. Waits for a connection if all are in use.
    ///
    /// # Errors
    ///
    /// The failure tells whether the request may have taken effect, see [`Failure::may_have_effect`].
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Message,
        limits: Limits,
    ) -> Result<Response, Failure> {
        let permits = self.permits(address);
        let _permit = match timeout(self.acquire_timeout, permits.acquire()).await {
            Ok(Ok(permit)) => permit,
            Ok(Err(_)) => return Err(Failure::invalid("the pool is closed")),
            Err(_) => {
                let fault = Fault::new(Cause::NoFreeConnection, "all connections are in use");
                return Err(Failure::Unsent(fault));
            }
        };
        let mut connection = self.take_idle(address);
        let result = connection.call(request, limits).await;
        if let Some(entry) = self.addresses.borrow_mut().get_mut(&address) {
            if connection.is_open() {
                entry.idle.push(connection);
            } else if matches!(result, Err(Failure::ConnectionLost(_))) {
                // What has ended one connection may have ended all of them.
                entry.idle.clear();
            }
        }
        result
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.addresses.borrow_mut().remove(&address);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.addresses.borrow_mut().clear();
    }

    fn permits(&self, address: SocketAddr) -> Rc<Semaphore> {
        let mut addresses = self.addresses.borrow_mut();
        let entry = addresses.entry(address).or_insert_with(|| AddressPool {
            permits: Rc::new(Semaphore::new(self.max_per_address)),
            idle: Vec::new(),
        });
        Rc::clone(&entry.permits)
    }

    /// Returns the idle connection that was used last, which the server is least likely to have closed, or a new one.
    fn take_idle(&self, address: SocketAddr) -> Connection {
        let mut addresses = self.addresses.borrow_mut();
        let idle = addresses
            .get_mut(&address)
            .and_then(|entry| entry.idle.pop());
        idle.unwrap_or_else(|| Connection::new(address))
    }
}
