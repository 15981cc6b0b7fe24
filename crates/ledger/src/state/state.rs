//! The fold of the stream `config`.

use super::{
    Error,
    Verdict,
    check,
    table::Table,
    writers::Writers, //
};
use crate::record::{
    Change,
    Entry,
    Image,
    Origin,
    Record,
    Revision,
    Snapshot, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Assignment,
    Contract,
    Pool,
    Subject,
    Value, //
};
use std::sync::Arc;

/// Offset of the newest accepted change; it never decreases within a process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

/// How much of the stream the state includes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Every record up to `through`, and the next one follows.
    Complete,
    /// Every record up to `through`, but the next one expired unread. What was in force stays in force.
    Behind,
    /// Nothing: the stream began after offset 1 and no snapshot was found. Requests are refused.
    Incomplete,
}

/// Configuration in force and everything needed to judge the next record.
///
/// The owner reads records from [`next`](Self::next) on and passes each one to [`apply`](Self::apply). When the
/// log says that `next` expired, the owner calls [`expire`](Self::expire) and goes on reading. Adopting a snapshot
/// sets `next` back, so the owner then reads some records a second time.
pub struct State {
    table: Table,
    writers: Writers,
    version: u64,
    through: u64,
    next: u64,
    /// Offset from which a state that missed records has read without a gap.
    searching: Option<u64>,
    snapshot: Option<(u64, Time)>,
}

impl State {
    /// Makes the state of a process that has read nothing, for a stream whose first retained offset is `first`.
    pub fn new(first: u64) -> Self {
        let mut state = Self {
            table: Table::default(),
            writers: Writers::default(),
            version: 0,
            through: 0,
            next: 1,
            searching: None,
            snapshot: None,
        };
        state.expire(first);
        state
    }

    /// Returns how much of the stream the state includes.
    pub fn status(&self) -> Status {
        match (self.searching, self.through) {
            (None, _) => Status::Complete,
            (Some(_), 0) => Status::Incomplete,
            (Some(_), _) => Status::Behind,
        }
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the offset of the last record that the configuration in force includes.
    pub fn through(&self) -> u64 {
        self.through
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Version {
        Version(self.version)
    }

    /// Returns offset and time of the newest snapshot record that was read.
    pub fn snapshot_seen(&self) -> Option<(u64, Time)> {
        self.snapshot
    }

    /// Returns the basis that a change of `subject` needs now, 0 if the subject never had a value.
    pub fn basis(&self, subject: &Subject) -> u64 {
        self.table.basis(subject)
    }

    /// Returns the value of `subject` with its offset, or the tombstone if it was removed.
    pub fn get(&self, subject: &Subject) -> Option<&Revision> {
        self.table.get(subject)
    }

    /// Returns all values in force, ordered by subject.
    pub fn values(&self) -> impl Iterator<Item = (&Subject, &Value)> + Clone {
        self.table
            .iter()
            .map(|(subject, held)| (subject, &held.value))
    }

    /// Returns the contracts in force with their offsets, ordered by name.
    pub fn customers(&self) -> impl Iterator<Item = (&Name, u64, &Arc<Contract>)> {
        self.table
            .iter()
            .filter_map(|(subject, held)| match (subject, &held.value) {
                (Subject::Customer(name), Value::Contract(contract)) => {
                    Some((name, held.offset, contract))
                }
                _ => None,
            })
    }

    /// Returns the pools in force with their offsets, ordered by name.
    pub fn pools(&self) -> impl Iterator<Item = (&Name, u64, &Arc<Pool>)> {
        self.table
            .iter()
            .filter_map(|(subject, held)| match (subject, &held.value) {
                (Subject::Pool(name), Value::Pool(pool)) => Some((name, held.offset, pool)),
                _ => None,
            })
    }

    /// Returns the assignments in force with their offsets, ordered by host name.
    pub fn hosts(&self) -> impl Iterator<Item = (&Name, u64, &Assignment)> {
        self.table
            .iter()
            .filter_map(|(subject, held)| match (subject, &held.value) {
                (Subject::Host(name), Value::Assignment(assignment)) => {
                    Some((name, held.offset, assignment))
                }
                _ => None,
            })
    }

    /// Notes that records before `first` can no longer be read.
    ///
    /// If one of them was not folded yet, the state stays as it is until a snapshot or a peer fills the gap.
    pub fn expire(&mut self, first: u64) {
        if first > self.next {
            self.searching = Some(first);
            self.next = first;
        }
    }

    /// Folds the record at `offset`; a record that could not be decoded is given as its error.
    pub fn apply(&mut self, offset: u64, record: Result<Record, Error>) -> Verdict {
        if offset < self.next {
            return Verdict::Old;
        }
        if offset > self.next {
            return Verdict::Gap { next: self.next };
        }
        self.next = offset.saturating_add(1);
        if let Ok(Record::Snapshot(snapshot)) = &record {
            self.snapshot = Some((offset, snapshot.written));
        }
        match self.searching {
            Some(start) => self.search(start, offset, record),
            None => self.fold(offset, record),
        }
    }

    /// Replaces the state by that of a peer if the peer's includes a later record.
    ///
    /// Returns whether it was replaced; the owner then continues at [`next`](Self::next).
    ///
    /// # Errors
    ///
    /// Fails without any effect if the peer's state fails its check.
    pub fn import(&mut self, image: Image) -> Result<bool, Error> {
        if image.through <= self.through {
            return Ok(false);
        }
        self.adopt(image)?;
        Ok(true)
    }

    /// Returns the whole state for a peer, or `None` if it is incomplete.
    pub fn export(&self) -> Option<Image> {
        if self.status() == Status::Incomplete {
            return None;
        }
        let values = self.table.iter();
        Some(Image {
            through: self.through,
            floor: self.table.floor(),
            values: values
                .map(|(subject, held)| (subject.clone(), held.clone()))
                .collect(),
            writers: self.writers.save(),
        })
    }

    /// Makes a snapshot record, or `None` unless the state is complete.
    pub fn snapshot(&self, origin: Origin, now: Time) -> Option<Snapshot> {
        if self.status() != Status::Complete {
            return None;
        }
        Some(Snapshot {
            origin,
            written: now,
            image: self.export()?,
        })
    }

    fn fold(&mut self, offset: u64, record: Result<Record, Error>) -> Verdict {
        self.through = offset;
        let record = match record {
            Ok(record) => record,
            Err(error) => return Verdict::Invalid(error),
        };
        if !self.writers.note(record.origin(), offset) {
            return Verdict::Repeat;
        }
        match record {
            Record::Change(change) => self.fold_change(offset, change),
            Record::Snapshot(_) => Verdict::Snapshot { adopted: false },
        }
    }

    fn fold_change(&mut self, offset: u64, change: Change) -> Verdict {
        if let Err(error) = check::check_entries(&change.entries) {
            return Verdict::Invalid(error);
        }
        if let Some(verdict) = self.find_stale(&change.entries) {
            return verdict;
        }
        let writer = change.origin.writer;
        let mut subjects = Vec::with_capacity(change.entries.len());
        let mut before = Vec::with_capacity(change.entries.len());
        for entry in change.entries {
            let held = Revision {
                offset,
                writer: writer.clone(),
                value: entry.value,
            };
            subjects.push(entry.subject.clone());
            before.push(self.table.put(entry.subject, held));
        }
        if let Err(error) = check::check_table(&self.table, &subjects) {
            self.undo(subjects, before);
            return Verdict::Invalid(error);
        }
        self.table.compact();
        self.version = offset;
        Verdict::Accepted { subjects }
    }

    fn find_stale(&self, entries: &[Entry]) -> Option<Verdict> {
        let moved = entries
            .iter()
            .find(|entry| entry.basis != self.table.basis(&entry.subject))?;
        let held = self.table.get(&moved.subject);
        Some(Verdict::Stale {
            subject: moved.subject.clone(),
            basis: moved.basis,
            current: self.table.basis(&moved.subject),
            writer: held.map(|held| held.writer.clone()),
        })
    }

    fn undo(&mut self, subjects: Vec<Subject>, before: Vec<Option<Revision>>) {
        for (subject, held) in subjects.into_iter().zip(before) {
            match held {
                Some(held) => drop(self.table.put(subject, held)),
                None => drop(self.table.take(&subject)),
            }
        }
    }

    fn search(&mut self, start: u64, offset: u64, record: Result<Record, Error>) -> Verdict {
        let snapshot = match record {
            Ok(Record::Snapshot(snapshot)) => snapshot,
            Ok(Record::Change(_)) => return Verdict::Pending,
            Err(error) => return Verdict::Invalid(error),
        };
        let through = snapshot.image.through;
        if through >= offset {
            return Verdict::Invalid(Error::Offset {
                field: "through",
                offset: through,
                through: offset,
            });
        }
        // Records between the snapshot's state and the first one read have expired.
        if through <= self.through || through.saturating_add(1) < start {
            return Verdict::Snapshot { adopted: false };
        }
        match self.adopt(snapshot.image) {
            Ok(()) => Verdict::Snapshot { adopted: true },
            Err(error) => Verdict::Invalid(error),
        }
    }

    fn adopt(&mut self, image: Image) -> Result<(), Error> {
        let through = image.through;
        let mut table = Table::new(image.floor);
        let mut subjects = Vec::with_capacity(image.values.len());
        let mut version = image.floor;
        for (subject, held) in image.values {
            check_offset("offset", held.offset, through)?;
            check::check_kind(&subject, &held.value)?;
            version = version.max(held.offset);
            subjects.push(subject.clone());
            if table.put(subject.clone(), held).is_some() {
                return Err(Error::Duplicate(subject));
            }
        }
        check_offset("floor", image.floor, through)?;
        for seen in &image.writers {
            check_offset("writers", seen.offset, through)?;
        }
        check::check_table(&table, &subjects)?;
        self.table = table;
        self.writers = Writers::load(image.writers);
        self.version = self.version.max(version);
        self.through = through;
        self.next = through.saturating_add(1);
        self.searching = None;
        Ok(())
    }
}

fn check_offset(field: &'static str, offset: u64, through: u64) -> Result<(), Error> {
    if offset <= through {
        return Ok(());
    }
    Err(Error::Offset {
        field,
        offset,
        through,
    })
}
