//! Index of an urgency class within a contract.

/// Position of an urgency class in its contract; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Index(pub u8);

/// Most urgency classes in one contract.
pub const CLASS_LIMIT: usize = 8;
