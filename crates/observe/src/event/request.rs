//! Request ids that are unique across all processes.

use core::{
    fmt,
    num::NonZeroU64,
    str::FromStr, //
};
use sassafrascrank_base::prelude::Name;

/// Identifies the process that assigned a request id: a hash of its host name and incarnation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Origin(NonZeroU64);

impl Origin {
    /// Derives the origin of the process with this incarnation on this host (FNV-1a, 64 bits).
    pub fn new(host: &Name, incarnation: u64) -> Self {
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let incarnation = incarnation.to_le_bytes();
        let hash = host
            .as_str()
            .bytes()
            .chain(incarnation)
            .fold(OFFSET, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(PRIME)
            });
        Self(NonZeroU64::new(hash).unwrap_or(NonZeroU64::MIN))
    }
}

/// Identifies one request across all processes. A forwarded request keeps the id of the entry where it arrived first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id {
    /// Process that assigned the id.
    pub origin: Origin,
    /// Number of the request within that process.
    pub count: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.origin.0, self.count)
    }
}

/// The text is not a valid request id; holds its first 64 characters.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error(
    "invalid request id {0:?}: use 16 hexadecimal digits, '-' and a hexadecimal number, as in the time line"
)]
pub struct Error(pub String);

impl FromStr for Id {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        /// Longest part of an invalid text that the error repeats, in characters.
        const SHOWN_CHARS_MAX: usize = 64;
        let error = || Error(text.chars().take(SHOWN_CHARS_MAX).collect());
        let (origin, count) = text.split_once('-').ok_or_else(error)?;
        let digits = |part: &str| part.bytes().all(|c| c.is_ascii_hexdigit());
        if origin.len() != 16 || !digits(origin) || !digits(count) {
            return Err(error());
        }
        let origin = u64::from_str_radix(origin, 16).map_err(|_| error())?;
        let origin = NonZeroU64::new(origin).map(Origin).ok_or_else(error)?;
        let count = u64::from_str_radix(count, 16).map_err(|_| error())?;
        Ok(Self { origin, count })
    }
}

/// Assigns request ids; each thread that accepts requests owns one.
#[derive(Debug)]
pub struct Counter {
    origin: Origin,
    next: u64,
    step: u64,
}

impl Counter {
    /// Creates the counter of thread number `thread`, from 0, of `threads`. The counters of these threads never assign
    /// the same id.
    pub const fn new(origin: Origin, thread: u64, threads: u64) -> Self {
        Self {
            origin,
            next: thread,
            step: threads,
        }
    }

    /// Returns the next id.
    pub const fn next_id(&mut self) -> Id {
        let count = self.next;
        self.next = self.next.wrapping_add(self.step);
        Id {
            origin: self.origin,
            count,
        }
    }
}
