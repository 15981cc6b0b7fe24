//! Reading of the log page by page, and application of the records to the ledger state.

use crate::{
    api::{
        Error,
        Log,
        Stream, //
    },
    wire, //
};
use sassafrascrank_ledger::{
    Origin,
    State,
    Verdict, //
};

/// Largest number of records requested in one read.
pub const MAX_PAGE_RECORDS: usize = 256;

/// A record that was applied to the state, or ignored as its verdict says.
#[derive(Clone, Debug)]
pub struct AppliedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Origin of the record, or `None` if it can't be decoded.
    pub origin: Option<Origin>,
    /// Effect of the record on the state.
    pub verdict: Verdict,
}

/// Result of reading one page.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Records in the order of their offsets.
    pub records: Vec<AppliedRecord>,
    /// Newest offset of the stream when the page was read.
    pub end: u64,
    /// Whether the state reached that offset.
    pub at_end: bool,
}

/// Reads one page from the next offset of the state on, and applies its records.
///
/// If the record at that offset has expired, the state is moved to the first retained offset and no record is applied;
/// the next call continues there.
///
/// # Errors
///
/// Fails if the log can't be read; the state is unchanged then.
pub async fn apply_page<L: Log>(log: &mut L, state: &mut State) -> Result<Progress, Error> {
    let page = match log
        .read(Stream::Config, state.next(), MAX_PAGE_RECORDS)
        .await
    {
        Ok(page) => page,
        Err(Error::Expired { first }) if first > state.next() => {
            state.expire(first);
            return Ok(Progress::default());
        }
        Err(error) => return Err(error),
    };
    let mut records = Vec::with_capacity(page.records.len());
    for item in page.records {
        let record = wire::config::decode(&item.body);
        let origin = record.as_ref().ok().map(|record| record.origin().clone());
        let verdict = state.apply(item.offset, record.map_err(Into::into));
        let adopted = verdict == Verdict::Snapshot { adopted: true };
        records.push(AppliedRecord {
            offset: item.offset,
            origin,
            verdict,
        });
        if adopted {
            // The state's next offset has changed, so the rest of the page is read again from there.
            break;
        }
    }
    Ok(Progress {
        records,
        end: page.end,
        at_end: state.next() > page.end,
    })
}

/// Reads and applies records until the end of the stream.
///
/// # Errors
///
/// Fails if the log can't be read; the records applied until then remain in effect.
pub async fn catch_up<L: Log>(log: &mut L, state: &mut State) -> Result<Vec<AppliedRecord>, Error> {
    let mut records = Vec::new();
    loop {
        let progress = apply_page(log, state).await?;
        records.extend(progress.records);
        if progress.at_end {
            return Ok(records);
        }
    }
}
