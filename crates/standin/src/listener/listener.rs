//! A listener that is reachable only from this machine.

use core::net::SocketAddr;
use std::{
    io,
    net::TcpListener, //
};

/// Opens a non-blocking listener on a loopback address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    if !address.ip().is_loopback() {
        let message = format!("{address} is not a loopback address: use one such as 127.0.0.1:0");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
    }
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
