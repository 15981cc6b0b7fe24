//! Query parameters of `/timeline`.

use crate::timeline::{
    Filter,
    LIMIT_MAX, //
};
use sassafrascrank_base::prelude::Name;

/// A query parameter of `/timeline` is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The parameter is unknown.
    #[error("there is no parameter {0:?}")]
    Unknown(String),
    /// The value is malformed.
    #[error("parameter {name:?} has the invalid value {value:?}")]
    Value {
        /// Name of the parameter.
        name: &'static str,
        /// Start of its value, up to 64 characters.
        value: String,
        /// Description of a valid value.
        remedy: &'static str,
    },
}

impl Error {
    /// Returns what the operator can do about it.
    pub const fn remedy(&self) -> &'static str {
        match self {
            Self::Unknown(_) => "use request, host, pool, customer, configuration, since and limit",
            Self::Value { remedy, .. } => remedy,
        }
    }
}

/// Parses the query part of a `/timeline` URI; an empty value counts as absent.
///
/// # Errors
///
/// Fails if a parameter is unknown or its value is malformed.
pub fn parse(query: &str) -> Result<Filter, Error> {
    let mut filter = Filter::default();
    for pair in query.split('&') {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        if value.is_empty() && name.is_empty() {
            continue;
        }
        match name {
            "request" => {
                let remedy =
                    "use a request id as the time line shows it, <16 digits>-<digits>, hexadecimal";
                filter.request = optional("request", value, remedy, |value| value.parse().ok())?;
            }
            "host" => filter.host = self::name("host", value)?,
            "pool" => filter.pool = self::name("pool", value)?,
            "customer" => filter.customer = self::name("customer", value)?,
            "configuration" => filter.configuration = number("configuration", value)?,
            "since" => filter.since = number("since", value)?,
            "limit" => filter.limit = limit(value)?.unwrap_or(filter.limit),
            _ => return Err(Error::Unknown(shortened(name))),
        }
    }
    Ok(filter)
}

/// Parses a value; an empty one counts as absent.
fn optional<T>(
    name: &'static str,
    value: &str,
    remedy: &'static str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, Error> {
    if value.is_empty() {
        return Ok(None);
    }
    let parsed = parse(value).ok_or_else(|| Error::Value {
        name,
        value: shortened(value),
        remedy,
    })?;
    Ok(Some(parsed))
}

fn name(name: &'static str, value: &str) -> Result<Option<Name>, Error> {
    let remedy = "use 1 to 63 characters out of a-z, 0-9, '-', '_' and '.'";
    optional(name, value, remedy, |value| Name::new(value).ok())
}

fn number(name: &'static str, value: &str) -> Result<Option<u64>, Error> {
    optional(name, value, "use a whole number from 0", |value| {
        value.parse().ok()
    })
}

fn limit(value: &str) -> Result<Option<usize>, Error> {
    const _: () = assert!(LIMIT_MAX == 2_000, "the remedy names the limit");
    optional(
        "limit",
        value,
        "use a whole number from 1 to 2000",
        |value| {
            value
                .parse()
                .ok()
                .filter(|limit| (1..=LIMIT_MAX).contains(limit))
        },
    )
}

/// Returns the start of a text that an error message repeats.
fn shortened(text: &str) -> String {
    /// Longest part of a text that an error message repeats, in characters.
    const SHOWN_CHARS_MAX: usize = 64;
    text.chars().take(SHOWN_CHARS_MAX).collect()
}
