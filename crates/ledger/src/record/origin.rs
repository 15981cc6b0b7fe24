//! Identity of a record, used to detect repeated appends.

use core::fmt;
use sassafrascrank_base::prelude::*;

/// Writer of a record and the record's sequence number.
///
/// A writer appends its records one after the other, so their sequence numbers increase along the stream.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Origin {
    /// Name of the host or operator that wrote the record.
    pub writer: Name,
    /// Distinguishes processes with the same name; every process uses a new one.
    pub incarnation: u64,
    /// Number of the record among those of its writer and incarnation, from 1.
    pub sequence: u64,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.writer, self.incarnation, self.sequence)
    }
}
