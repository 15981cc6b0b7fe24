//! Identity of an entry process.

use core::fmt;
use sassafrascrank_base::prelude::Name;

/// Identifies an entry process across all hosts and restarts.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Process {
    /// Name of its host.
    pub host: Name,
    /// Number that differs for each start of the process.
    pub incarnation: u64,
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.host, self.incarnation)
    }
}
