//! Handover of the outcomes of keyed requests.

use bytes::Bytes;
use sassafrascrank_claim::table::{
    self,
    Size, //
};

/// The answer of an upstream to a keyed request, as kept for repeated requests with the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// Status code, 100 to 999.
    pub status: u16,
    /// Names in lower case and values, without hop-by-hop headers.
    pub headers: Vec<(String, Bytes)>,
    /// Whole body, or `None` if it was too large to keep.
    pub body: Option<Bytes>,
}

/// Outcomes of requests whose idempotency keys moved from one entry to another.
pub type Handover = table::Handover<StoredAnswer>;

impl Size for StoredAnswer {
    fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        size_of::<Self>() + headers + self.body.as_ref().map_or(0, Bytes::len)
    }
}
