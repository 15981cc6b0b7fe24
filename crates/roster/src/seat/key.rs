//! Name of a seat.

use std::sync::Arc;

/// Name of a seat.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// Availability zone of the seat.
    pub zone: Arc<str>,
    /// Number within the availability zone.
    pub number: u8,
}
