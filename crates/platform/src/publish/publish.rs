//! Compare-and-set of configuration values through the log.

use crate::{
    api::{
        self,
        Log,
        Stream, //
    },
    append::{
        Appender,
        Event, //
    },
    follow::{
        AppliedRecord,
        apply_page, //
        catch_up,
    },
    wire, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::{
    document::Document,
    model::Subject, //
};
use sassafrascrank_ledger as ledger;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};

/// Time between reads of the log until the published record appears in it.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result of a publication.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The change is in force.
    Accepted {
        /// Offset of the change.
        offset: u64,
        /// Subjects whose values the change set.
        subjects: Vec<Subject>,
    },
    /// Another writer has changed a subject in the meantime; no part of the change is in force.
    Stale {
        /// First subject that another writer had changed.
        subject: Subject,
        /// Writer of the value in force, if there is one.
        by: Option<Name>,
        /// Offset of that value.
        current: u64,
    },
    /// The change is invalid; no part of it is in force.
    Invalid(ledger::Error),
    /// The record may be in the log or may still arrive there. Read the configuration before publishing again.
    Unknown {
        /// The last error.
        reason: Option<api::Error>,
    },
}

/// Nothing was published, and no record can arrive later.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The document contains no values, or the list no entries.
    #[error("the document holds no values: give at least one customer, pool or host")]
    Empty,
    /// The log can't be read or written.
    #[error("nothing was published: {0}")]
    Log(#[from] api::Error),
    /// Older records of the log have expired and it contains no snapshot.
    #[error(
        "nothing was published: the log begins after offset 1 and holds no snapshot; \
             wait until an entry process has written one"
    )]
    Incomplete,
    /// The time limit expired before the record was sent.
    #[error("nothing was published within {} ms: try again later", .0.as_millis())]
    Timeout(Duration),
}

/// Publishes the values of `document` on the basis of the values in force now.
///
/// `incarnation` must differ from that of every earlier call by the same writer; `limit` bounds the whole call.
/// The future must run on a `tokio` runtime with time enabled.
///
/// # Errors
///
/// Fails only if nothing was published; if that is uncertain, the outcome is [`Outcome::Unknown`].
pub async fn publish<L: Log>(
    log: &mut L,
    document: &Document,
    writer: Name,
    incarnation: u64,
    limit: Duration,
) -> Result<Outcome, Error> {
    if document.values.is_empty() {
        return Err(Error::Empty);
    }
    let start = Instant::now();
    let state = read_state(log, limit).await?;
    let entries = entries(document, &state);
    let appender = Appender::new(writer, incarnation, incarnation);
    let mut publication = Publication::new(log, state, appender, start, limit);
    publication.push(entries);
    publication.run().await
}

/// Publishes `entries` on the bases that they name, so that a decision on outdated values has no effect.
///
/// `incarnation`, `limit` and the runtime must meet the requirements of [`publish`].
///
/// # Errors
///
/// Fails only if nothing was published; if that is uncertain, the outcome is [`Outcome::Unknown`].
pub async fn publish_entries<L: Log>(
    log: &mut L,
    entries: Vec<ledger::Entry>,
    writer: Name,
    incarnation: u64,
    limit: Duration,
) -> Result<Outcome, Error> {
    if entries.is_empty() {
        return Err(Error::Empty);
    }
    let start = Instant::now();
    let state = read_state(log, limit).await?;
    let appender = Appender::new(writer, incarnation, incarnation);
    let mut publication = Publication::new(log, state, appender, start, limit);
    publication.push(entries);
    publication.run().await
}

async fn read_state<L: Log>(log: &mut L, limit: Duration) -> Result<ledger::State, Error> {
    let mut state = ledger::State::new(1);
    let read = timeout(limit, catch_up(log, &mut state)).await;
    read.map_err(|_| Error::Timeout(limit))??;
    match state.status() {
        ledger::Status::Complete => Ok(state),
        _ => Err(Error::Incomplete),
    }
}

fn entries(document: &Document, state: &ledger::State) -> Vec<ledger::Entry> {
    let values = document.values.iter();
    values
        .map(|(subject, value)| ledger::Entry {
            subject: subject.clone(),
            basis: state.basis(subject),
            value: value.clone(),
        })
        .collect()
}

struct Publication<'a, L> {
    log: &'a mut L,
    state: ledger::State,
    appender: Appender,
    start: Instant,
    limit: Duration,
    /// Whether an append may have taken effect.
    sent: bool,
    reason: Option<api::Error>,
}

impl<'a, L: Log> Publication<'a, L> {
    fn new(
        log: &'a mut L,
        state: ledger::State,
        appender: Appender,
        start: Instant,
        limit: Duration,
    ) -> Self {
        Self {
            log,
            state,
            appender,
            start,
            limit,
            sent: false,
            reason: None,
        }
    }

    fn push(&mut self, entries: Vec<ledger::Entry>) {
        let change = |origin| ledger::Record::Change(ledger::Change { origin, entries });
        // The queue of a new appender is empty, so it can't be full.
        let _ = self
            .appender
            .push(|origin| wire::config::encode(&change(origin)));
    }

    async fn run(mut self) -> Result<Outcome, Error> {
        while self.start.elapsed() < self.limit {
            self.append().await?;
            if !self.sent {
                sleep(POLL_INTERVAL).await;
                continue;
            }
            match apply_page(self.log, &mut self.state).await {
                Ok(progress) => {
                    if let Some(outcome) = self.find_outcome(&progress.records) {
                        return Ok(outcome);
                    }
                    if !progress.at_end {
                        continue;
                    }
                }
                Err(error) => self.reason = Some(error),
            }
            sleep(POLL_INTERVAL).await;
        }
        match self.reason {
            reason if self.sent => Ok(Outcome::Unknown { reason }),
            Some(error) => Err(Error::Log(error)),
            None => Err(Error::Timeout(self.limit)),
        }
    }

    /// Appends the record if the appender has one to send now.
    async fn append(&mut self) -> Result<(), Error> {
        let now = self.now();
        let Some(body) = self.appender.poll(now) else {
            return Ok(());
        };
        let result = self.log.append(Stream::Config, body).await;
        match &result {
            Ok(_) => self.sent = true,
            Err(error) => {
                self.sent |= error.may_have_effect();
                self.reason = Some(error.clone());
            }
        }
        let now = self.now();
        match self.appender.complete(now, result) {
            Some(Event::Rejected { error, .. }) if !self.sent => Err(Error::Log(error)),
            _ => Ok(()),
        }
    }

    /// Returns the outcome if `records` contain the first copy of the published record.
    fn find_outcome(&mut self, records: &[AppliedRecord]) -> Option<Outcome> {
        let own = records.iter().find(|record| {
            let origin = record.origin.as_ref();
            origin.is_some_and(|origin| self.appender.observe(origin, record.offset).is_some())
        })?;
        Some(match own.verdict.clone() {
            ledger::Verdict::Accepted { subjects } => Outcome::Accepted {
                offset: own.offset,
                subjects,
            },
            ledger::Verdict::Stale {
                subject,
                current,
                writer,
                ..
            } => Outcome::Stale {
                subject,
                by: writer,
                current,
            },
            ledger::Verdict::Invalid(error) => Outcome::Invalid(error),
            _ => Outcome::Unknown {
                reason: self.reason.take(),
            },
        })
    }

    fn now(&self) -> Time {
        Time::MIN + self.start.elapsed()
    }
}
