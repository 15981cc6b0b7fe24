//! The append-only log.

use super::Error;
use core::{
    fmt,
    future::Future, //
};

/// Largest record in bytes. A snapshot of a configuration at the target size takes a fraction of it;
/// `docs/design-ledger.md` lists the sizes.
pub const RECORD_LIMIT: usize = 8 << 20;

/// Streams of the log. Each has its own offsets, which start at 1.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stream {
    /// Contracts, pools and host assignments.
    Config,
    /// Membership of entry processes.
    Member,
}

impl Stream {
    /// Returns the name of the stream in the platform's interface.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Member => "member",
        }
    }
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Offset in the stream.
    pub offset: u64,
    /// JSON text.
    pub body: Box<str>,
}

/// Consecutive records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// First retained offset; one more than `end` if nothing is retained.
    pub first: u64,
    /// Offset of the newest record; 0 for a new stream.
    pub end: u64,
    /// Records from the requested offset on; fewer than requested if the stream ends there.
    pub records: Vec<Item>,
}

/// The platform's log.
pub trait Log {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// After an error the append may still have taken effect, see [`Error::may_have_effect`].
    fn append(
        &mut self,
        stream: Stream,
        body: &str,
    ) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads at most `limit` records from offset `from` on.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Expired`] if the record at `from` is no longer retained.
    fn read(
        &mut self,
        stream: Stream,
        from: u64,
        limit: usize,
    ) -> impl Future<Output = Result<Page, Error>> + Send;
}
