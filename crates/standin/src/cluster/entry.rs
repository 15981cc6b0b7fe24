//! What an entry of the system under test needs to start.

use std::{
    io,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
};

/// Settings file of an entry, and the listeners on the addresses that it names.
///
/// The listeners are open, so that neither another test nor an outgoing connection can take their ports before the entry
/// starts. They are non-blocking.
#[derive(Debug)]
pub struct Entry {
    /// Text of the settings file.
    pub settings: String,
    /// Listener for callers' connections.
    pub callers: TcpListener,
    /// Listener for the readiness check.
    pub readiness: TcpListener,
    /// Listener for requests that other entries pass on.
    pub relayed: Option<TcpListener>,
    /// Listener for leaders whose orders the entry carries out.
    pub executor: Option<TcpListener>,
}

impl Entry {
    /// Opens the listeners of an entry whose platform has the address `platform`.
    pub(super) fn open(name: &str, platform: SocketAddr) -> io::Result<Self> {
        let (callers, readiness) = (listen()?, listen()?);
        let (relayed, executor) = (listen()?, listen()?);
        let (front, ready) = (callers.local_addr()?, readiness.local_addr()?);
        let first = relayed.local_addr()?.port();
        let last = executor.local_addr()?.port();
        let settings = format!(
            "node={name}\nzone=zone\nlisten.front={front}\nlisten.ready={ready}\nplatform.addr={platform}\n\
             cloud.addr={platform}\nportRange={first},{last}\nbounds.holdMaxMs=6000\n"
        );
        Ok(Self {
            settings,
            callers,
            readiness,
            relayed: Some(relayed),
            executor: Some(executor),
        })
    }
}

/// Opens a non-blocking listener on a free port.
fn listen() -> io::Result<TcpListener> {
    listen_at(IpAddr::V4(Ipv4Addr::LOCALHOST))
}

/// Opens a non-blocking listener on a free port of a loopback address.
pub(super) fn listen_at(address: IpAddr) -> io::Result<TcpListener> {
    crate::listener::listen(SocketAddr::new(address, 0))
}
