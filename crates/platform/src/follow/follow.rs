//! One page at a time from the log into the state.

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

/// Most records asked for at once.
pub const PAGE_LIMIT: usize = 256;

/// One record that was folded.
#[derive(Clone, Debug)]
pub struct AppliedRecord {
    /// Its offset.
    pub offset: u64,
    /// Its origin, if it could be decoded.
    pub origin: Option<Origin>,
    /// What became of it.
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

/// Reads and folds one page from the state's next offset on.
///
/// If that offset has expired, the state is told and nothing is folded; the next call reads on.
///
/// # Errors
///
/// Fails without any effect on the state if the log can't be read.
pub async fn apply_page<L: Log>(log: &mut L, state: &mut State) -> Result<Progress, Error> {
    let page = match log.read(Stream::Config, state.next(), PAGE_LIMIT).await {
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
            // The state continues behind the snapshot's own offset, so the rest of the page comes again.
            break;
        }
    }
    Ok(Progress {
        records,
        end: page.end,
        at_end: state.next() > page.end,
    })
}

/// Reads until the end of the stream.
///
/// # Errors
///
/// Fails if the log can't be read; what was folded until then stays.
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
