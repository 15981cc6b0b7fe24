//! Errors of calls of a peer.

use crate::wire;
use core::{
    net::SocketAddr,
    time::Duration, //
};

/// A call of a peer failed. Reports, requests for state and handovers may all be sent again.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The connection could not be opened, or it broke.
    #[error(
        "peer {address} is unreachable ({reason}): check that its process runs and the network is up"
    )]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the operating system or of the HTTP library.
        reason: String,
    },
    /// The connection or the answer took too long.
    #[error("peer {address} did not answer within {after:?}: check its load and the network")]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
        /// The time limit.
        after: Duration,
    },
    /// The peer answered that it does not accept the message.
    #[error("the peer refused the message with status {status}: {reason}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Cause and remedy, as the peer gives them.
        reason: String,
    },
    /// The message or its answer is malformed or too large.
    #[error("malformed message: {0}")]
    Malformed(#[from] wire::Error),
}
