//! Why a request has no whole answer.

use core::time::Duration;

/// Why a request has no whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Failure {
    /// No connection could be had, so the request was not sent.
    #[error("the request was not sent ({0}): try again later")]
    Unsent(String),
    /// The connection failed after the request was sent.
    #[error("the connection failed after the request was sent ({0}): check its effect")]
    ConnectionLost(String),
    /// There was no connection, or no answer, in time.
    #[error("no answer came within {} ms: check the effect if it was sent", after.as_millis())]
    Timeout {
        /// The request was sent.
        sent: bool,
        /// How long the client waited.
        after: Duration,
    },
    /// The answer is too large.
    #[error("the answer has more than {0} bytes: ask for less")]
    ResponseTooLarge(usize),
}

impl Failure {
    /// Tells whether the request may have taken effect.
    pub fn may_have_effect(&self) -> bool {
        match self {
            Self::Unsent(_) => false,
            Self::ConnectionLost(_) | Self::ResponseTooLarge(_) => true,
            Self::Timeout { sent, .. } => *sent,
        }
    }
}
