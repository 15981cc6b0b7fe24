//! The part of a key that identifies it within its zone.

use sassafrascrank_base::{
    hash::mix,
    prelude::Time, //
};

/// The UUIDv7 of a key; it is unique within the key's home zone.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(u128);

impl Id {
    /// Makes an identifier from the bits of a UUIDv7.
    pub const fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the bits of the UUIDv7.
    pub const fn bits(self) -> u128 {
        self.0
    }

    /// Returns the creation time that the caller wrote into the key, in whole milliseconds.
    pub const fn created(self) -> Time {
        Time::from_millis((self.0 >> 80) as u64)
    }

    /// Returns the hash that decides the owner of the key.
    ///
    /// It is the same in every process and version, because entries of different versions must agree on the owner.
    pub const fn hash(self) -> u64 {
        mix(mix((self.0 >> 64) as u64) ^ self.0 as u64)
    }
}
