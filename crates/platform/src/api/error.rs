//! Errors of calls to the platform.

use sassafrascrank_base::prelude::*;

/// A call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The platform can't be reached, or it reported a failure of its own.
    #[error("the platform is unavailable ({reason}): check its address and try again later")]
    Unavailable {
        /// Whether the request may have taken effect.
        sent: bool,
        /// Cause, for operators.
        reason: String,
    },
    /// The platform did not respond in time.
    #[error("the platform did not respond within {} ms: try again later", after.as_millis())]
    Timeout {
        /// Whether the request may have taken effect.
        sent: bool,
        /// Time that the client waited.
        after: Duration,
    },
    /// The record at the requested offset is no longer retained.
    #[error("the record has expired: read from offset {first} on")]
    Expired {
        /// First retained offset.
        first: u64,
    },
    /// A request or a response contains an invalid value.
    #[error("field {field}: value {value} is not allowed: {remedy}")]
    Malformed {
        /// Name of the field.
        field: String,
        /// The invalid value, truncated.
        value: String,
        /// How to correct it.
        remedy: String,
    },
}

/// Length in characters to which quoted values are truncated.
const QUOTE_LIMIT: usize = 80;

impl Error {
    /// Creates a [`Malformed`](Self::Malformed) error and truncates the value.
    pub fn malformed(field: &str, value: impl ToString, remedy: impl Into<String>) -> Self {
        Self::Malformed {
            field: field.to_owned(),
            value: value.to_string().chars().take(QUOTE_LIMIT).collect(),
            remedy: remedy.into(),
        }
    }

    /// Returns whether an append that failed in this way may have taken effect.
    pub fn may_have_effect(&self) -> bool {
        match self {
            Self::Unavailable { sent, .. } | Self::Timeout { sent, .. } => *sent,
            Self::Expired { .. } | Self::Malformed { .. } => false,
        }
    }
}
