//! Listeners of an entry process.

use super::Error;
use core::net::SocketAddr;
use std::net::TcpListener;

/// Open listeners of an entry process. They are non-blocking.
#[derive(Debug)]
pub struct Listeners {
    /// Listener for callers' connections.
    pub callers: TcpListener,
    /// Listener for the readiness probe.
    pub readiness: TcpListener,
    /// Listener of the metrics endpoint, if there is one.
    pub metrics: Option<TcpListener>,
    /// Listener for callers' requests that other entries pass on, if there is one.
    pub relayed: Option<TcpListener>,
    /// Listener for leaders whose orders this entry carries out, if there is one.
    pub executor: Option<TcpListener>,
}

impl Listeners {
    /// Opens listeners on these addresses.
    ///
    /// # Errors
    ///
    /// Names the address that can't be listened on.
    pub fn open(
        callers: SocketAddr,
        readiness: SocketAddr,
        metrics: Option<SocketAddr>,
        relayed: Option<SocketAddr>,
        executor: Option<SocketAddr>,
    ) -> Result<Self, Error> {
        Ok(Self {
            metrics: metrics.map(listen).transpose()?,
            relayed: relayed.map(listen).transpose()?,
            executor: executor.map(listen).transpose()?,
            callers: listen(callers)?,
            readiness: listen(readiness)?,
        })
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).map_err(|error| Error::Listen(address, error))?;
    listener
        .set_nonblocking(true)
        .map_err(|error| Error::Listen(address, error))?;
    Ok(listener)
}
