//! Current values and tombstones, in an arena with an index by subject.

use crate::record::Revision;
use sassafrascrank_contract::model::{
    Subject,
    Value, //
};
use slotmap::SlotMap;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

slotmap::new_key_type! {
    /// Identifies a value within one process; it has no meaning outside of it.
    pub struct Key;
}

/// Most tombstones kept. At 1,300 changes a day, all of them removals, a tombstone is kept for up to three days.
pub const TOMBSTONE_LIMIT: usize = 4_096;

/// Tombstones kept when the limit is exceeded. Discarding half of them at once keeps the floor stable for longer; each
/// time it rises, changes in flight that create a subject become stale.
const TOMBSTONES_AFTER_COMPACTION: usize = TOMBSTONE_LIMIT / 2;

struct Slot {
    subject: Subject,
    revision: Revision,
}

/// Current values and tombstones by subject.
#[derive(Default)]
pub(super) struct Table {
    arena: SlotMap<Key, Slot>,
    index: BTreeMap<Subject, Key>,
    tombstones: BTreeSet<(u64, Key)>,
    floor: u64,
}

impl Table {
    /// Creates an empty table whose absent subjects have the basis `floor`.
    pub(super) fn new(floor: u64) -> Self {
        Self {
            floor,
            ..Self::default()
        }
    }

    pub(super) fn floor(&self) -> u64 {
        self.floor
    }

    pub(super) fn get(&self, subject: &Subject) -> Option<&Revision> {
        let key = self.index.get(subject)?;
        self.arena.get(*key).map(|slot| &slot.revision)
    }

    /// Returns the offset of the subject's value or tombstone, or the floor if there is none.
    pub(super) fn basis(&self, subject: &Subject) -> u64 {
        self.get(subject)
            .map_or(self.floor, |revision| revision.offset)
    }

    /// Returns values and tombstones ordered by subject.
    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = (&Subject, &Revision)> + Clone {
        let slots = self.index.values().filter_map(|key| self.arena.get(*key));
        slots.map(|slot| (&slot.subject, &slot.revision))
    }

    /// Sets the value of a subject and returns the previous one.
    pub(super) fn insert(&mut self, subject: Subject, revision: Revision) -> Option<Revision> {
        let previous = self.remove(&subject);
        let tombstone = revision.value == Value::Removed;
        let offset = revision.offset;
        let key = self.arena.insert(Slot {
            subject: subject.clone(),
            revision,
        });
        self.index.insert(subject, key);
        if tombstone {
            self.tombstones.insert((offset, key));
        }
        previous
    }

    /// Removes a value without leaving a tombstone.
    pub(super) fn remove(&mut self, subject: &Subject) -> Option<Revision> {
        let key = self.index.remove(subject)?;
        let revision = self.arena.remove(key)?.revision;
        self.tombstones.remove(&(revision.offset, key));
        Some(revision)
    }

    /// Discards the oldest tombstones if there are too many, and raises the floor to the newest discarded one.
    ///
    /// All tombstones of one offset are discarded together, so that the result does not depend on arena keys and is the
    /// same in every process.
    pub(super) fn compact(&mut self) {
        if self.tombstones.len() <= TOMBSTONE_LIMIT {
            return;
        }
        let surplus = self.tombstones.len() - TOMBSTONES_AFTER_COMPACTION;
        let Some(&(offset, _)) = self.tombstones.iter().nth(surplus - 1) else {
            return;
        };
        while let Some(&(oldest, key)) = self.tombstones.first() {
            if oldest > offset {
                break;
            }
            self.tombstones.pop_first();
            if let Some(slot) = self.arena.remove(key) {
                self.index.remove(&slot.subject);
            }
        }
        self.floor = self.floor.max(offset);
    }
}
