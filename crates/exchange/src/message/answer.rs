//! Stored answer that can be sent again for a repeat of the same idempotency key.

use bytes::Bytes;
use hyper::{
    HeaderMap,
    StatusCode, //
};

/// Answer of an upstream, stored for repeats of the same idempotency key.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body, or `None` if it was too large to store.
    pub body: Option<Bytes>,
}

impl Answer {
    /// Returns the approximate memory use of the answer in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        size_of::<Self>() + headers + self.body.as_ref().map_or(0, Bytes::len)
    }
}
