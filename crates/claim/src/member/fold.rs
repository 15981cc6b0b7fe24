//! Fold of the stream `member` in offset order.

use super::{
    Change,
    Entry,
    Host,
    Member,
    Record,
    View, //
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::Name;

/// Folds records into a [`View`]; all readers of the same records get the same view.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    view: View,
}

/// What a record did to the view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// An entry became a member of the zone.
    Joined(Entry, Name),
    /// An entry is no longer a member of the zone.
    Departed(Entry, Name),
    /// Nothing: the record is a repeat of one that was folded before.
    Repeat,
    /// Nothing: the record is not valid in the view at its offset.
    Ignored,
}

/// Records before this one are missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error(
    "the record at offset {offset} does not follow offset {last}: read from there or import a newer view"
)]
pub struct Error {
    /// Offset of the last folded record.
    pub last: u64,
    /// Offset of the rejected record.
    pub offset: u64,
}

impl Fold {
    /// Returns the current view; a clone of it is a snapshot.
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Folds the record at `offset`.
    ///
    /// # Errors
    ///
    /// Fails if records before `offset` are missing. A record at or before the offset of the view is a repeat.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Result<Effect, Error> {
        let last = self.view.offset;
        if offset <= last {
            return Ok(Effect::Repeat);
        }
        if offset != last + 1 {
            return Err(Error { last, offset });
        }
        self.view.offset = offset;
        if let Change::Join {
            entry,
            zone,
            address,
        } = &record.change
        {
            return Ok(self.join(record.sequence, entry, zone, *address));
        }
        let Some(writer) = self.view.member_mut(record.writer()) else {
            return Ok(Effect::Ignored);
        };
        if record.sequence <= writer.sequence {
            return Ok(Effect::Repeat);
        }
        writer.sequence = record.sequence;
        Ok(match &record.change {
            Change::Retire { entry, by } => self.retire(entry, by),
            Change::Join { entry, .. } | Change::Leave { entry } => self.depart(entry, false),
        })
    }

    /// Replaces the view by a snapshot if it is newer, and tells whether it did.
    pub fn import(&mut self, view: View) -> bool {
        if view.offset <= self.view.offset {
            return false;
        }
        self.view = view;
        true
    }

    fn join(&mut self, sequence: u64, entry: &Entry, zone: &Name, address: SocketAddr) -> Effect {
        let offset = self.view.offset;
        let last_incarnation = self
            .view
            .hosts
            .get(&entry.host)
            .map_or(0, |host| host.incarnation);
        // An incarnation joins once: a late repeat must not make a departed entry a member again.
        if entry.incarnation <= last_incarnation {
            return Effect::Repeat;
        }
        let incarnation = entry.incarnation;
        self.view.hosts.insert(
            entry.host.clone(),
            Host {
                incarnation,
                offset,
            },
        );
        let joined = self.view.zones.entry(zone.clone()).or_default();
        joined.revision = offset;
        joined.members.push(Member {
            entry: entry.clone(),
            address,
            sequence,
        });
        self.view.limit_hosts();
        Effect::Joined(entry.clone(), zone.clone())
    }

    fn retire(&mut self, entry: &Entry, by: &Entry) -> Effect {
        if entry == by || self.view.zone_of(entry) != self.view.zone_of(by) {
            return Effect::Ignored;
        }
        self.depart(entry, true)
    }

    /// Removes a member from its zone; `retired` tells whether another member asked for it.
    fn depart(&mut self, entry: &Entry, retired: bool) -> Effect {
        let Some(name) = self.view.zone_of(entry).cloned() else {
            return Effect::Ignored;
        };
        let Some(zone) = self.view.zones.get_mut(&name) else {
            return Effect::Ignored;
        };
        zone.members.retain(|member| member.entry != *entry);
        zone.revision = self.view.offset;
        zone.retired |= retired;
        Effect::Departed(entry.clone(), name)
    }
}
