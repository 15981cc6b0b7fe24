//! Reasons why a request got no complete response.

use core::{
    error::Error,
    fmt,
    time::Duration, //
};
use sassafrascrank_base::fault::Cause;
use std::io::{
    self,
    ErrorKind, //
};

/// Largest length of the description of a fault, which logs have in full.
const DETAIL_LIMIT: usize = 160;
/// Number of `ENFILE` and `EMFILE`, for which `std` has no kind.
const NO_DESCRIPTOR: [i32; 2] = [23, 24];

/// What has failed, with the description by the transport.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// What has failed.
    pub cause: Cause,
    /// Description by the transport, of bounded length.
    pub detail: String,
}

impl Fault {
    /// Creates a fault. Long descriptions are cut short.
    pub fn new(cause: Cause, detail: impl ToString) -> Self {
        let mut detail = detail.to_string();
        detail.truncate(detail.floor_char_boundary(DETAIL_LIMIT));
        Self { cause, detail }
    }

    /// Describes an error of an attempt to connect.
    pub(crate) fn of_connect(error: &io::Error) -> Self {
        let lacks_descriptor = |code| NO_DESCRIPTOR.contains(&code);
        let cause = match error.kind() {
            _ if error.raw_os_error().is_some_and(lacks_descriptor) => Cause::NoDescriptor,
            ErrorKind::AddrNotAvailable => Cause::NoPort,
            ErrorKind::ConnectionRefused => Cause::Refused,
            ErrorKind::TimedOut => Cause::ConnectTimeout,
            _ => Cause::ConnectFailed,
        };
        Self::new(cause, error)
    }

    /// Describes an error of a connection after the request was sent, or while it was.
    pub(crate) fn of_connection(error: &(dyn Error + 'static)) -> Self {
        let mut source = Some(error);
        let mut detail = error.to_string();
        while let Some(inner) = source {
            if let Some(inner) = inner.downcast_ref::<io::Error>() {
                detail = format!("{detail}: {inner}");
                let cause = match inner.kind() {
                    ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Cause::Reset,
                    ErrorKind::UnexpectedEof => Cause::Closed,
                    _ => Cause::ConnectionFailed,
                };
                return Self::new(cause, detail);
            }
            let closed = |error: &hyper::Error| error.is_incomplete_message() || error.is_closed();
            if inner.downcast_ref::<hyper::Error>().is_some_and(closed) {
                return Self::new(Cause::Closed, detail);
            }
            source = inner.source();
        }
        Self::new(Cause::ConnectionFailed, detail)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.detail)
    }
}

/// Why a request got no complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Failure {
    /// The request was not sent, because it is invalid or there was no connection for it.
    #[error("the request was not sent ({0}): try again later")]
    Unsent(Fault),
    /// The connection failed after the request was sent, wholly or in part.
    #[error(
        "the connection failed after the request was sent ({0}): check the effect of the request"
    )]
    ConnectionLost(Fault),
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
    /// Creates the failure of a request that could not be built.
    pub fn invalid(error: impl ToString) -> Self {
        Self::Unsent(Fault::new(Cause::Invalid, error))
    }

    /// Returns whether the request may have taken effect.
    pub fn may_have_effect(&self) -> bool {
        match self {
            Self::Unsent(_) => false,
            Self::ConnectionLost(_) | Self::ResponseTooLarge(_) => true,
            Self::Timeout { sent, .. } => *sent,
        }
    }

    /// Returns what has failed.
    pub fn cause(&self) -> Cause {
        match self {
            Self::Unsent(fault) | Self::ConnectionLost(fault) => fault.cause,
            Self::Timeout { sent: false, .. } => Cause::ConnectTimeout,
            Self::Timeout { sent: true, .. } => Cause::Timeout,
            Self::ResponseTooLarge(_) => Cause::TooLarge,
        }
    }
}

impl From<Failure> for Fault {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unsent(fault) | Failure::ConnectionLost(fault) => fault,
            Failure::Timeout {
                after, received, ..
            } => {
                let after = after.as_millis();
                Self::new(failure.cause(), format!("{received} bytes in {after} ms"))
            }
            Failure::ResponseTooLarge(limit) => {
                Self::new(Cause::TooLarge, format!("more than {limit} bytes"))
            }
        }
    }
}
