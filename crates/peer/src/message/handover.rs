//! Handover of the outcomes of keyed requests.

use bytes::Bytes;
use sassafrascrank_claim::table::{
    self,
    Size, //
};

/// A whole answer of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// Status code, 100 to 999.
    pub status: u16,
    /// Names in lower case and values, without the headers that belong to a connection.
    pub headers: Vec<(String, Bytes)>,
    /// Whole body, or `None` if it was too large to keep.
    pub body: Option<Bytes>,
}

/// Outcomes of the keys that moved from one entry to another.
pub type Handover = table::Handover<StoredAnswer>;

impl Size for StoredAnswer {
    fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        size_of::<Self>() + headers + self.body.as_ref().map_or(0, Bytes::len)
    }
}
