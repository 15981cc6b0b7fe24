//! Subjects of configuration and their values.

use super::{
    Assignment,
    Contract,
    Pool,
    Reservation, //
};
use core::fmt;
use sassafrascrank_base::{
    name,
    prelude::*, //
};
use std::sync::Arc;

/// Object that a configuration value describes. Changes of different subjects never conflict.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// Contract of a customer.
    Customer(Name),
    /// Policy of a pool.
    Pool(Name),
    /// Assignment of a host.
    Host(Name),
    /// Hosts of a pool that are out of service.
    Reservation(Name),
}

/// Value of a subject.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// Contract of a customer.
    Contract(Arc<Contract>),
    /// Policy of a pool.
    Pool(Arc<Pool>),
    /// Assignment of a host.
    Assignment(Assignment),
    /// Hosts of a pool that are out of service.
    Reservation(Arc<Reservation>),
    /// The subject was removed.
    Removed,
}

/// The text is not a valid subject.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum ParseError {
    /// The kind before the slash is unknown.
    #[error(
        "unknown subject {0:?}: use customer/<name>, pool/<name>, host/<name> or reservation/<pool>"
    )]
    Kind(String),
    /// The name after the slash is invalid.
    #[error(transparent)]
    Name(#[from] name::Error),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Customer(name) => write!(f, "customer/{name}"),
            Self::Pool(name) => write!(f, "pool/{name}"),
            Self::Host(name) => write!(f, "host/{name}"),
            Self::Reservation(name) => write!(f, "reservation/{name}"),
        }
    }
}

impl TryFrom<&str> for Subject {
    type Error = ParseError;

    fn try_from(text: &str) -> Result<Self, ParseError> {
        match text.split_once('/') {
            Some(("customer", name)) => Ok(Self::Customer(Name::new(name)?)),
            Some(("pool", name)) => Ok(Self::Pool(Name::new(name)?)),
            Some(("host", name)) => Ok(Self::Host(Name::new(name)?)),
            Some(("reservation", name)) => Ok(Self::Reservation(Name::new(name)?)),
            _ => Err(ParseError::Kind(text.chars().take(80).collect())),
        }
    }
}
