//! Reads the stream `member` and appends records to it.

use super::snapshot::{
    Schedule,
    Snapshot, //
};
use crate::dispatch::Directive;
use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::member::{
    Change,
    Entry,
    Fold,
    Record,
    View, //
};
use sassafrascrank_platform::{
    Appender, Error, Log, Page, Stream,
    append::Full,
    wire::member::{
        self,
        Membership, //
        Transition,
    },
};
use std::sync::Arc;

/// Most records in one read.
const PAGE_LIMIT: usize = 256;

/// Membership as read from the log, and records of this process that are not yet in the log.
pub(super) struct Follower {
    fold: Fold,
    writer: Entry,
    appender: Appender,
    schedule: Schedule,
    /// Offset from which to search for a snapshot, after unread records have expired from the log.
    search_offset: Option<u64>,
}

/// Result of one read.
#[derive(Debug)]
pub(super) struct Progress {
    /// Directives for the dispatch thread, in this order.
    pub(super) directives: Vec<Directive>,
    /// Whether the end of the stream was reached.
    pub(super) finished: bool,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            directives: Vec::new(),
            finished: true,
        }
    }
}

impl Progress {
    fn unfinished() -> Self {
        Self {
            finished: false,
            ..Self::default()
        }
    }
}

impl Follower {
    pub(super) fn new(now: Time, me: &Entry) -> Self {
        let seed = me.incarnation;
        Self {
            fold: Fold::default(),
            writer: me.clone(),
            appender: Appender::new(me.host.clone(), me.incarnation, seed),
            schedule: Schedule::new(now, seed),
            search_offset: None,
        }
    }

    pub(super) fn view(&self) -> &View {
        self.fold.view()
    }

    /// Imports a view if it is newer; returns whether it was.
    pub(super) fn import(&mut self, view: View) -> bool {
        let newer = self.fold.import(view);
        if newer {
            // If the record after the view has expired too, the next read starts the search again.
            self.search_offset = None;
        }
        newer
    }

    pub(super) fn push(&mut self, record: &Record) -> Result<(), Full> {
        let writer = record.writer();
        if *writer != self.writer {
            // The former incarnation was retired, so its pending records would be ignored by all readers.
            self.writer = writer.clone();
            let incarnation = writer.incarnation;
            self.appender = Appender::new(writer.host.clone(), incarnation, incarnation);
        }
        let append = |origin| member::encode(&membership(origin, record));
        self.appender.push(append).map(drop)
    }

    /// Appends the record that is due, if there is one.
    pub(super) async fn append<L: Log>(
        &mut self,
        log: &mut L,
        clock: fn() -> Time,
    ) -> Result<(), Error> {
        let Some(body) = self.appender.poll(clock()) else {
            return Ok(());
        };
        let result = log.append(Stream::Member, body).await;
        let failed = result.as_ref().err().cloned();
        self.appender.complete(clock(), result);
        failed.map_or(Ok(()), Err)
    }

    /// Appends a snapshot when one is due; a duplicate after a lost response is harmless.
    pub(super) async fn append_snapshot<L: Log>(
        &mut self,
        log: &mut L,
        clock: fn() -> Time,
    ) -> Result<(), Error> {
        let now = clock();
        let view = self.fold.view();
        let member = view.zone_of(&self.writer).is_some();
        if !member || self.search_offset.is_some() || !self.schedule.is_due(now, view.offset) {
            return Ok(());
        }
        let snapshot = Snapshot {
            written: now,
            view: view.clone(),
        };
        if let Some(body) = snapshot.encode(&self.writer) {
            log.append(Stream::Member, &body).await?;
        }
        Ok(())
    }

    /// Reads one page; at the end of the stream, the result contains a directive that confirms the view.
    pub(super) async fn read<L: Log>(
        &mut self,
        log: &mut L,
        clock: fn() -> Time,
    ) -> Result<Progress, Error> {
        let start = clock();
        let next = self.search_offset.unwrap_or(self.view().offset + 1);
        let page = match log.read(Stream::Member, next, PAGE_LIMIT).await {
            Err(Error::Expired { first }) if first > next => {
                self.search_offset = Some(first);
                return Ok(Progress::unfinished());
            }
            page => page?,
        };
        if self.search_offset.is_some() {
            return Ok(self.search_page(&page));
        }
        let mut progress = self.fold_page(&page, clock());
        let end = page.end;
        if self.view().offset == end {
            progress
                .directives
                .push(Directive::ConfirmView { start, end });
        }
        Ok(progress)
    }

    fn fold_page(&mut self, page: &Page, read: Time) -> Progress {
        let mut records = Vec::with_capacity(page.records.len());
        for item in &page.records {
            if let Some(snapshot) = Snapshot::decode(&item.body) {
                self.schedule.observe(item.offset, snapshot.written);
            }
            // A record that does not parse changes nothing, but its offset must be applied.
            let record = member::decode(&item.body).map_or_else(|_| no_op_record(), record);
            self.observe(item.offset, &record);
            records.push((item.offset, record));
        }
        if records.is_empty() {
            return Progress::default();
        }
        let records = Arc::from(records);
        Progress {
            directives: vec![Directive::Members { records, read }],
            finished: false,
        }
    }

    /// Searches a page for a snapshot after which no record has expired.
    fn search_page(&mut self, page: &Page) -> Progress {
        let Some(last) = page.records.last() else {
            return Progress::default();
        };
        self.search_offset = Some(last.offset + 1);
        for item in &page.records {
            let Some(snapshot) = Snapshot::decode(&item.body) else {
                continue;
            };
            self.schedule.observe(item.offset, snapshot.written);
            let contiguous = snapshot.view.offset + 1 >= page.first;
            if contiguous && self.import(snapshot.view) {
                let view = Arc::new(self.view().clone());
                return Progress {
                    directives: vec![Directive::ImportView(view)],
                    finished: false,
                };
            }
        }
        Progress::unfinished()
    }

    fn observe(&mut self, offset: u64, record: &Record) {
        // The page starts right after the view, so there is no gap.
        self.fold.apply(offset, record).ok();
        let writer = record.writer();
        let origin = sassafrascrank_ledger::Origin {
            writer: writer.host.clone(),
            incarnation: writer.incarnation,
            sequence: record.sequence,
        };
        self.appender.observe(&origin, offset);
    }
}

/// Returns a record without effect, to stand for a record that does not parse.
fn no_op_record() -> Record {
    // No process has incarnation 0, so this entry is never a member.
    let no_entry = Entry {
        host: Name::placeholder(),
        incarnation: 0,
    };
    Record {
        sequence: 0,
        change: Change::Leave { entry: no_entry },
    }
}

fn record(membership: Membership) -> Record {
    let entry = Entry {
        host: membership.host,
        incarnation: membership.incarnation,
    };
    let by = Entry {
        host: membership.origin.writer,
        incarnation: membership.origin.incarnation,
    };
    let change = match membership.transition {
        Transition::Join { zone, address } => Change::Join {
            entry,
            zone,
            address,
        },
        Transition::Leave => Change::Leave { entry },
        Transition::Retire { .. } => Change::Retire { entry, by },
    };
    Record {
        sequence: membership.origin.sequence,
        change,
    }
}

fn membership(origin: sassafrascrank_ledger::Origin, record: &Record) -> Membership {
    let (entry, transition) = match &record.change {
        Change::Join {
            entry,
            zone,
            address,
        } => {
            let zone = zone.clone();
            let address = *address;
            (entry, Transition::Join { zone, address })
        }
        Change::Leave { entry } => (entry, Transition::Leave),
        Change::Retire { entry, by } => {
            let by = by.host.clone();
            (entry, Transition::Retire { by })
        }
    };
    Membership {
        origin,
        host: entry.host.clone(),
        incarnation: entry.incarnation,
        transition,
    }
}
