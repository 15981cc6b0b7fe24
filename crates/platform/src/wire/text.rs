//! Decoding of JSON text into validated values, and encoding.

use crate::api;
use sassafrascrank_base::name::Name;
use sassafrascrank_contract::wire;
use sassafrascrank_ledger as ledger;
use serde::de::DeserializeOwned;

/// Length in characters to which quoted values are truncated.
const QUOTE_LIMIT: usize = 80;

/// A field contains an invalid value.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("field {field}: value {value} is not allowed: {remedy}")]
pub struct Error {
    /// Path of the field.
    pub field: String,
    /// The invalid value, truncated.
    pub value: String,
    /// How to correct it.
    pub remedy: String,
}

impl Error {
    /// Creates an error and truncates the value.
    pub(crate) fn new(field: &str, value: impl ToString, remedy: impl Into<String>) -> Self {
        Self {
            field: field.to_owned(),
            value: value.to_string().chars().take(QUOTE_LIMIT).collect(),
            remedy: remedy.into(),
        }
    }

    /// Prepends the name of the enclosing object to the path of the field.
    pub(crate) fn within(self, object: &str) -> Self {
        Self {
            field: format!("{object}.{}", self.field),
            ..self
        }
    }
}

impl From<wire::Error> for Error {
    fn from(error: wire::Error) -> Self {
        Self {
            field: error.field.to_owned(),
            value: error.value,
            remedy: error.remedy,
        }
    }
}

impl From<Error> for api::Error {
    fn from(error: Error) -> Self {
        Self::Malformed {
            field: error.field,
            value: error.value,
            remedy: error.remedy,
        }
    }
}

impl From<Error> for ledger::Error {
    fn from(error: Error) -> Self {
        Self::Unreadable(error.to_string())
    }
}

/// Decodes JSON text into the wire type `W` and converts that into the validated type `D`.
///
/// # Errors
///
/// Names field, value and remedy of the first invalid value.
pub fn decode<W, D>(text: &str) -> Result<D, Error>
where
    W: DeserializeOwned,
    D: TryFrom<W>,
    Error: From<D::Error>,
{
    let wire: W = serde_json::from_str(text)
        .map_err(|error| Error::new("record", text, format!("write it as documented: {error}")))?;
    Ok(wire.try_into()?)
}

/// Encodes a wire value as JSON text.
pub(crate) fn encode(wire: &impl serde::Serialize) -> String {
    // Encoding fails only for maps without string keys and for failing implementations; wire types have neither.
    serde_json::to_string(wire).unwrap_or_default()
}

pub(crate) fn parse_name(field: &str, text: &str) -> Result<Name, Error> {
    Name::new(text).map_err(|error| Error::new(field, text, error.to_string()))
}
