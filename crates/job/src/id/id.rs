//! Identity of a job.

use core::fmt;

/// Number of hexadecimal digits in the text of an identity.
const DIGITS: usize = 16;

/// Identity of a job, chosen by its caller. Its text is 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub u64);

/// A text is not the identity of a job. It holds the beginning of the text.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("invalid job id {0:?}: use {DIGITS} digits out of 0-9 and a-f")]
pub struct Error(pub String);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl TryFrom<&str> for Id {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        let valid = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        let invalid = || Error(text.chars().take(2 * DIGITS).collect());
        if text.len() != DIGITS || !text.bytes().all(valid) {
            return Err(invalid());
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| invalid())
    }
}
