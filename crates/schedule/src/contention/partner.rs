//! An image that interferes with a given one.

use super::Key;

/// An image that interferes with a given one. Amounts are in steps of a quarter of the duration alone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Partner {
    /// The other image.
    pub image: Key,
    /// By how much a task of the given image is slowed down if any task of the other one is beside it.
    pub suffered: u32,
    /// By how much each task of the other image is slowed down by a task of the given one.
    pub caused: u32,
}

impl Partner {
    /// Returns the expected slowdown on a runner that has `count` other tasks of the image.
    pub const fn cost(&self, count: u16) -> u32 {
        match count {
            0 => 0,
            count => self.suffered + self.caused * count as u32,
        }
    }
}
