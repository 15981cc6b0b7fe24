//! Validated name that is cheap to clone.

use core::fmt;
use std::{
    borrow::Borrow,
    sync::Arc, //
};

/// Longest name in bytes, equal to the limit of a DNS label.
const LENGTH_LIMIT: usize = 63;

/// Name of a customer, pool, host or availability zone.
///
/// It consists of 1 to 63 characters out of `a` to `z`, `0` to `9`, `-`, `_` and `.`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Name(Arc<str>);

/// Error of a text that is not a valid name; contains the text, cut off after 64 characters.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("invalid name {0:?}: use 1 to {LENGTH_LIMIT} characters out of a-z, 0-9, '-', '_' and '.'")]
pub struct Error(pub String);

impl Name {
    /// Creates a name from `text` if it is valid.
    ///
    /// # Errors
    ///
    /// Fails if the text is empty, too long or contains a character that is not allowed.
    pub fn new(text: &str) -> Result<Self, Error> {
        let valid = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || b"-_.".contains(&c);
        if text.is_empty() || text.len() > LENGTH_LIMIT || !text.bytes().all(valid) {
            return Err(Error(text.chars().take(LENGTH_LIMIT + 1).collect()));
        }
        Ok(Self(text.into()))
    }

    /// Returns the name `-`, for use where the actual name is unknown.
    pub fn placeholder() -> Self {
        Self("-".into())
    }

    /// Returns the name as text.
    #[inline]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Name {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        Self::new(text)
    }
}
