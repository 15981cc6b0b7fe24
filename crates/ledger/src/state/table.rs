//! Values in force and tombstones, in an arena with an index by subject.

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

/// Most tombstones kept. At 1,300 changes a day, all of them removals, they last for three days.
pub const TOMBSTONE_LIMIT: usize = 4_096;

/// Tombstones kept when the limit is exceeded. Dropping half at once moves the floor rarely, and each move
/// makes the basis of changes in flight that create a subject stale.
const TOMBSTONE_KEEP: usize = TOMBSTONE_LIMIT / 2;

struct Slot {
    subject: Subject,
    held: Revision,
}

/// Values and tombstones by subject.
#[derive(Default)]
pub(super) struct Table {
    arena: SlotMap<Key, Slot>,
    index: BTreeMap<Subject, Key>,
    removed: BTreeSet<(u64, Key)>,
    floor: u64,
}

impl Table {
    /// Makes an empty table whose absent subjects have the basis `floor`.
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
        self.arena.get(*key).map(|slot| &slot.held)
    }

    /// Returns the offset in force; the floor stands for every forgotten tombstone.
    pub(super) fn basis(&self, subject: &Subject) -> u64 {
        self.get(subject).map_or(self.floor, |held| held.offset)
    }

    /// Returns values and tombstones ordered by subject.
    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = (&Subject, &Revision)> + Clone {
        let slots = self.index.values().filter_map(|key| self.arena.get(*key));
        slots.map(|slot| (&slot.subject, &slot.held))
    }

    /// Sets a value and returns the one before it.
    pub(super) fn put(&mut self, subject: Subject, held: Revision) -> Option<Revision> {
        let before = self.take(&subject);
        let tombstone = held.value == Value::Removed;
        let offset = held.offset;
        let key = self.arena.insert(Slot {
            subject: subject.clone(),
            held,
        });
        self.index.insert(subject, key);
        if tombstone {
            self.removed.insert((offset, key));
        }
        before
    }

    /// Removes a value without a trace, to undo a change.
    pub(super) fn take(&mut self, subject: &Subject) -> Option<Revision> {
        let key = self.index.remove(subject)?;
        let held = self.arena.remove(key)?.held;
        self.removed.remove(&(held.offset, key));
        Some(held)
    }

    /// Drops the oldest tombstones if there are too many and raises the floor to the newest dropped one.
    ///
    /// Tombstones of one offset go together, so the result does not depend on keys.
    pub(super) fn compact(&mut self) {
        if self.removed.len() <= TOMBSTONE_LIMIT {
            return;
        }
        let surplus = self.removed.len() - TOMBSTONE_KEEP;
        let Some(&(offset, _)) = self.removed.iter().nth(surplus - 1) else {
            return;
        };
        while let Some(&(oldest, key)) = self.removed.first() {
            if oldest > offset {
                break;
            }
            self.removed.pop_first();
            if let Some(slot) = self.arena.remove(key) {
                self.index.remove(&slot.subject);
            }
        }
        self.floor = self.floor.max(offset);
    }
}
