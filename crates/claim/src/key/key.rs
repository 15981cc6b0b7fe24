//! Text form of an idempotency key.

use super::Id;
use core::{
    fmt,
    str::FromStr, //
};
use sassafrascrank_base::{
    name,
    prelude::{
        Name,
        Time, //
    },
};
use uuid::Uuid;

/// Longest key that is accepted: a name of 63 bytes, the colon and a hyphenated UUID of 36 bytes.
const MAX_KEY_BYTES: usize = 100;

/// Idempotency key `<availability zone>:<UUIDv7>`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    zone: Name,
    id: Id,
}

/// Why a text is not a valid key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The text is too long.
    #[error(
        "the key has {0} bytes: send <availability zone>:<UUIDv7> with at most {MAX_KEY_BYTES} bytes"
    )]
    Length(usize),
    /// The colon is missing.
    #[error("the key {0:?} has no zone: send <availability zone>:<UUIDv7>")]
    Zone(String),
    /// The zone is not a valid name.
    #[error("the zone of the key: {0}")]
    Name(#[from] name::Error),
    /// The second part is not a hyphenated UUID.
    #[error("{0:?} is not a UUID: write a version 7 UUID in its hyphenated form after the zone")]
    Uuid(String),
    /// The UUID has another version and so carries no creation time.
    #[error("the UUID {0} is not of version 7: make the key with a UUIDv7 generator")]
    Version(Uuid),
}

impl Key {
    /// Makes a key from its parts.
    pub const fn new(zone: Name, id: Id) -> Self {
        Self { zone, id }
    }

    /// Returns the home zone of the key: one of its entries owns the key.
    pub const fn zone(&self) -> &Name {
        &self.zone
    }

    /// Returns the part that identifies the key within its zone.
    pub const fn id(&self) -> Id {
        self.id
    }

    /// Returns the creation time that the caller wrote into the key.
    pub const fn created(&self) -> Time {
        self.id.created()
    }

    /// Returns the hash that decides the owner of the key; it is the same in every process and version.
    pub const fn hash(&self) -> u64 {
        self.id.hash()
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() > MAX_KEY_BYTES {
            return Err(Error::Length(text.len()));
        }
        let (zone, uuid) = text
            .split_once(':')
            .ok_or_else(|| Error::Zone(text.to_owned()))?;
        let zone = Name::new(zone)?;
        let not_a_uuid = || Error::Uuid(uuid.to_owned());
        if uuid.len() != 36 {
            return Err(not_a_uuid());
        }
        let uuid = Uuid::try_parse(uuid).map_err(|_| not_a_uuid())?;
        if uuid.get_version_num() != 7 || uuid.get_variant() != uuid::Variant::RFC4122 {
            return Err(Error::Version(uuid));
        }
        Ok(Self::new(zone, Id::from_bits(uuid.as_u128())))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.zone, Uuid::from_u128(self.id.bits()))
    }
}
