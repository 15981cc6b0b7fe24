//! TCP listeners.

use core::net::SocketAddr;
use socket2::{
    Domain,
    Protocol,
    Socket,
    Type, //
};
use std::{
    io,
    net::TcpListener, //
};

/// Most connections that wait to be accepted; the kernel lowers it to its own limit.
const BACKLOG: i32 = 1_024;

/// Opens a listener; with `shared`, several threads may listen on the same address.
pub(super) fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // Without this, a restarted process could not bind while connections of the former one are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
