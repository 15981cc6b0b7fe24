//! The host list.

use super::Error;
use core::{
    future::Future,
    net::SocketAddr, //
};
use sassafrascrank_base::prelude::*;

/// Whether a host takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// It takes new work.
    Live,
    /// It finishes the work that it has and then leaves.
    Leaving,
}

/// A host in the platform's list, which may lag behind the actual state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub host: Name,
    /// Address of the upstream process.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Rack.
    pub rack: Name,
    /// Whether it takes new work.
    pub condition: Condition,
    /// Increases with each start of the host.
    pub incarnation: u64,
}

/// The platform's host list.
pub trait Directory {
    /// Returns the live and leaving hosts, or `None` if they have not changed since the last successful call.
    ///
    /// # Errors
    ///
    /// Fails if the list can't be read; the list of the last successful call stays usable.
    fn hosts(&mut self) -> impl Future<Output = Result<Option<Vec<Host>>, Error>> + Send;
}
