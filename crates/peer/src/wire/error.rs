//! Error of a malformed message, and checks that several messages share.

use core::net::SocketAddr;
use sassafrascrank_base::name::Name;
use sassafrascrank_contract::wire;

/// Longest quoted value; in characters.
const QUOTE_LIMIT: usize = 80;

/// A field of a message holds a value that is not allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("field {field}: value {value} is not allowed: {remedy}")]
pub struct Error {
    /// Path of the field.
    pub field: String,
    /// Value as it was given, cut after 80 characters.
    pub value: String,
    /// What to send instead.
    pub remedy: String,
}

impl Error {
    pub(crate) fn new(field: &str, value: impl ToString, remedy: impl Into<String>) -> Self {
        Self {
            field: field.to_owned(),
            value: value.to_string().chars().take(QUOTE_LIMIT).collect(),
            remedy: remedy.into(),
        }
    }

    /// Puts the name of the surrounding object before the field.
    pub(super) fn within(self, object: &str) -> Self {
        let field = format!("{object}.{}", self.field);
        Self { field, ..self }
    }
}

impl From<wire::Error> for Error {
    fn from(error: wire::Error) -> Self {
        Self::new(&error.field, error.value, error.remedy)
    }
}

pub(super) fn parse_name(field: &str, text: &str) -> Result<Name, Error> {
    Name::new(text).map_err(|error| Error::new(field, text, error.to_string()))
}

pub(super) fn parse_address(field: &str, text: &str) -> Result<SocketAddr, Error> {
    let remedy = "give an IP address and a port, like 10.0.0.7:8080";
    text.parse().map_err(|_| Error::new(field, text, remedy))
}

pub(super) fn check_count(field: &str, count: usize, limit: usize) -> Result<(), Error> {
    if count <= limit {
        return Ok(());
    }
    Err(Error::new(field, count, format!("send at most {limit}")))
}
