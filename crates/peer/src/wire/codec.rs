//! Encoding and decoding of MessagePack, with checks of size and version.

use super::{
    Error,
    VERSION, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// The field that a message has in every version.
#[derive(serde::Deserialize)]
struct Head {
    v: u16,
}

/// Encodes a message.
///
/// # Errors
///
/// Fails if the encoded message is larger than `limit` bytes.
pub fn encode(message: &impl Serialize, limit: usize) -> Result<Vec<u8>, Error> {
    let body = rmp_serde::to_vec_named(message)
        .map_err(|error| Error::new("message", "", format!("report an encoding bug: {error}")))?;
    check_size(body.len(), limit)?;
    Ok(body)
}

/// Decodes a message, ignoring fields that this version doesn't know.
///
/// # Errors
///
/// Fails if the message is larger than `limit` bytes, has a higher version or doesn't fit its type.
pub fn decode<W: DeserializeOwned>(body: &[u8], limit: usize) -> Result<W, Error> {
    check_size(body.len(), limit)?;
    // The version comes first, so that the error of a newer message names the version and not a field.
    let head: Head = rmp_serde::from_slice(body).map_err(malformed)?;
    check_version(head.v)?;
    rmp_serde::from_slice(body).map_err(malformed)
}

pub(super) fn check_version(version: u16) -> Result<(), Error> {
    if (1..=VERSION).contains(&version) {
        return Ok(());
    }
    let remedy = format!("send version 1 to {VERSION}, or upgrade the receiver first");
    Err(Error::new("v", version, remedy))
}

fn check_size(size: usize, limit: usize) -> Result<(), Error> {
    if size <= limit {
        return Ok(());
    }
    let remedy = format!("send at most {limit} bytes");
    Err(Error::new("message", format!("{size} bytes"), remedy))
}

fn malformed(error: rmp_serde::decode::Error) -> Error {
    Error::new("message", error, "send MessagePack as documented")
}
