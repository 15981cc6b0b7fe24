//! Serialised seats: a text key and a MessagePack value.

use super::{
    Candidate,
    Key, //
};
use core::net::SocketAddr;

/// A record of a seat can't be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The key has an unknown form.
    #[error("the key {0:?} names no seat: ignore the record, or upgrade this entry")]
    Key(String),
    /// The value can't be decoded.
    #[error("seat {key:?} can't be decoded ({reason}): ignore it, or upgrade this entry")]
    Value {
        /// Key of the record.
        key: String,
        /// What is wrong.
        reason: String,
    },
}

/// Prefix of the keys; the availability zone, `/` and the number of the seat follow.
const PREFIX: &str = "seat/";
/// Number of characters of a key that an error shows.
const SHOWN_CHARACTERS: usize = 40;

/// Fields are stored as an array, so their order is part of the format.
#[derive(serde::Deserialize, serde::Serialize)]
struct Wire {
    name: String,
    /// Microseconds since the Unix epoch.
    incarnation: u64,
    address: String,
    /// Thousandths of a core.
    capacity: u32,
    leads: bool,
    executor: String,
}

/// Returns the key and the value of the record of a seat, which removes the holder if there is none.
pub fn encode(key: &Key, candidate: Option<&Candidate>) -> (String, Vec<u8>) {
    // Encoding into memory fails only for types that MessagePack cannot represent, and this is none.
    let encode = |candidate| rmp_serde::to_vec(&Wire::from(candidate)).unwrap_or_default();
    let value = candidate.map(encode).unwrap_or_default();
    (format!("{PREFIX}{}/{}", key.zone, key.number), value)
}

/// Decodes the record of a seat. The holder is `None` if the record was removed.
///
/// # Errors
///
/// Fails if the key is unknown or the value does not fit.
pub fn decode(key: &str, value: &[u8]) -> Result<(Key, Option<Candidate>), Error> {
    let shown = || key.chars().take(SHOWN_CHARACTERS).collect();
    let seat = key.strip_prefix(PREFIX).and_then(|rest| {
        let (zone, number) = rest.rsplit_once('/')?;
        Some(Key {
            zone: zone.into(),
            number: number.parse().ok()?,
        })
    });
    let seat = seat.ok_or_else(|| Error::Key(shown()))?;
    if value.is_empty() {
        return Ok((seat, None));
    }
    let failure = |reason: String| Error::Value {
        key: shown(),
        reason,
    };
    let wire: Wire = rmp_serde::from_slice(value).map_err(|error| failure(error.to_string()))?;
    let candidate = Candidate::try_from(wire).map_err(failure)?;
    Ok((seat, Some(candidate)))
}

impl From<&Candidate> for Wire {
    fn from(candidate: &Candidate) -> Self {
        Self {
            name: candidate.name.to_string(),
            incarnation: candidate.incarnation,
            address: candidate.address.to_string(),
            capacity: candidate.capacity,
            leads: candidate.leads,
            executor: candidate.executor.to_string(),
        }
    }
}

impl TryFrom<Wire> for Candidate {
    type Error = String;

    fn try_from(wire: Wire) -> Result<Self, String> {
        let parse = |address: &str| -> Result<SocketAddr, String> {
            let parsed = address.parse();
            parsed.map_err(|_| format!("the address {address:?} has no IP address and port"))
        };
        let (address, executor) = (parse(&wire.address)?, parse(&wire.executor)?);
        Ok(Self {
            name: wire.name.into(),
            incarnation: wire.incarnation,
            address,
            capacity: wire.capacity,
            leads: wire.leads,
            executor,
        })
    }
}
