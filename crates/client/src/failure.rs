//! Reasons why a request got no complete response.

use core::time::Duration;

/// Why a request got no complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Failure {
    /// The request was not sent, because it is invalid or there was no connection for it.
    #[error("the request was not sent ({0}): try again later")]
    Unsent(String),
    /// The connection failed after the request was sent, wholly or in part.
    #[error(
        "the connection failed after the request was sent ({0}): check the effect of the request"
    )]
    ConnectionLost(String),
    /// The connection could not be opened, or the response did not arrive, in time.
    #[error(
        "no complete response arrived within {} ms, only {received} bytes of its body: check the effect of the request if it was sent",
        after.as_millis()
    )]
    Timeout {
        /// Whether the request may have been sent.
        sent: bool,
        /// Time that the client waited.
        after: Duration,
        /// Bytes of the response body that arrived in that time.
        received: usize,
    },
    /// The response body exceeds this number of bytes.
    #[error("the response has more than {0} bytes: request less")]
    ResponseTooLarge(usize),
}

impl Failure {
    /// Returns whether the request may have taken effect.
    pub fn may_have_effect(&self) -> bool {
        match self {
            Self::Unsent(_) => false,
            Self::ConnectionLost(_) | Self::ResponseTooLarge(_) => true,
            Self::Timeout { sent, .. } => *sent,
        }
    }
}
