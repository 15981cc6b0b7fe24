//! Frames of a connection between a leader and an executor: a length in four bytes, and a MessagePack value.

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use std::io;
use tokio::io::{
    AsyncRead,
    AsyncReadExt,
    AsyncWrite,
    AsyncWriteExt, //
};

/// Largest frame. It holds several thousand orders with their specifications.
const FRAME_LIMIT_BYTES: usize = 8 << 20;

/// Reads a frame.
///
/// # Errors
///
/// Fails if the connection ends, or if the frame is too large or can't be decoded.
pub(super) async fn read<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
) -> io::Result<T> {
    let length = stream.read_u32().await? as usize;
    if length > FRAME_LIMIT_BYTES {
        let reason = format!("a frame of {length} bytes: {FRAME_LIMIT_BYTES} are allowed");
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    rmp_serde::from_slice(&bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Writes a frame.
///
/// # Errors
///
/// Fails if the connection ends or the value can't be encoded.
pub(super) async fn write<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    value: &T,
) -> io::Result<()> {
    // The length is filled in once it is known, so that the frame is written with one call.
    let mut bytes = vec![0; 4];
    rmp_serde::encode::write(&mut bytes, value).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len() - 4).map_err(io::Error::other)?;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    stream.write_all(&bytes).await
}
