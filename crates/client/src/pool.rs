//! Connections to many addresses, a few to each.

use crate::{
    Connection,
    Failure,
    Limits,
    Message,
    Response, //
};
use core::{
    net::SocketAddr,
    time::Duration, //
};
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
struct Site {
    permits: Rc<Semaphore>,
    idle: Vec<Connection>,
}

/// Connections to many addresses, at most a few to each. It belongs to one thread.
pub struct Pool {
    sites: RefCell<HashMap<SocketAddr, Site>>,
    width: usize,
    wait: Duration,
}

impl Pool {
    /// Makes a pool of at most `width` connections to each address. A request that gets none within `wait` is not sent.
    pub fn new(width: usize, wait: Duration) -> Self {
        Self {
            sites: RefCell::default(),
            width,
            wait,
        }
    }

    /// Sends a request on an idle connection or on a new one, and waits for one if all are in use.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have taken effect.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Message,
        limits: Limits,
    ) -> Result<Response, Failure> {
        let permits = self.permits(address);
        let _permit = match timeout(self.wait, permits.acquire()).await {
            Ok(Ok(permit)) => permit,
            Ok(Err(_)) => return Err(Failure::Unsent("the pool is closed".to_owned())),
            Err(_) => return Err(Failure::Unsent("all connections are in use".to_owned())),
        };
        let mut connection = self.take(address);
        let result = connection.call(request, limits).await;
        if connection.is_open()
            && let Some(site) = self.sites.borrow_mut().get_mut(&address)
        {
            site.idle.push(connection);
        }
        result
    }

    /// Closes the idle connections to an address that is no longer in use.
    pub fn close_idle(&self, address: SocketAddr) {
        self.sites.borrow_mut().remove(&address);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.sites.borrow_mut().clear();
    }

    fn permits(&self, address: SocketAddr) -> Rc<Semaphore> {
        let mut sites = self.sites.borrow_mut();
        let site = sites.entry(address).or_insert_with(|| Site {
            permits: Rc::new(Semaphore::new(self.width)),
            idle: Vec::new(),
        });
        Rc::clone(&site.permits)
    }

    /// Returns the connection that was used last, since it is the least likely to have been closed.
    fn take(&self, address: SocketAddr) -> Connection {
        let mut sites = self.sites.borrow_mut();
        let idle = sites.get_mut(&address).and_then(|site| site.idle.pop());
        idle.unwrap_or_else(|| Connection::new(address))
    }
}
