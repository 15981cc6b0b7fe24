//! Arena of images.

use super::evidence::Evidence;
use sassafrascrank_base::prelude::*;
use slotmap::SlotMap;
use std::{
    collections::HashMap,
    sync::Arc, //
};

slotmap::new_key_type! {
    /// Identifies an image within this process.
    pub struct Key;
}

/// Largest number of images.
const IMAGE_LIMIT: usize = 256;
/// Time after its last use from which an image may be removed. Its evidence has decayed to 1/64 by then.
const RETENTION: Duration = Duration::from_secs(30);
/// Largest length of a name in bytes, which bounds the memory of the arena.
const NAME_LIMIT: usize = 256;

/// What tasks that behave alike have in common.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Name<'a> {
    /// The image that they run.
    Image(&'a str),
    /// The queue of tasks that name no image.
    Queue(&'a str),
}

impl Name<'_> {
    /// Returns whether the name is short enough to be kept.
    pub const fn is_valid(self) -> bool {
        match self {
            Self::Image(name) | Self::Queue(name) => !name.is_empty() && name.len() <= NAME_LIMIT,
        }
    }
}

/// An image, and the evidence on its tasks.
#[derive(Clone, Debug)]
pub(super) struct Image {
    /// Name for logs.
    pub(super) label: Arc<str>,
    is_queue: bool,
    pub(super) evidence: Evidence,
    /// When a task of it was last placed or seen.
    pub(super) used_at: Time,
}

/// Arena of images.
#[derive(Clone, Debug, Default)]
pub(super) struct Images {
    pub(super) arena: SlotMap<Key, Image>,
    by_image: HashMap<Arc<str>, Key>,
    by_queue: HashMap<Arc<str>, Key>,
    /// Number of times that an image found no room.
    pub(super) untracked: u64,
}

impl Images {
    /// Returns the key of an image that is known.
    pub(super) fn find(&self, name: Name<'_>) -> Option<Key> {
        match name {
            Name::Image(name) => self.by_image.get(name).copied(),
            Name::Queue(name) => self.by_queue.get(name).copied(),
        }
    }

    /// Returns the key of an image, which is added if there is room.
    pub(super) fn intern(&mut self, name: Name<'_>, now: Time) -> Option<Key> {
        if let Some(key) = self.find(name) {
            self.arena[key].used_at = now;
            return Some(key);
        }
        if !name.is_valid() || !self.make_room(now) {
            self.untracked += 1;
            return None;
        }
        let (label, is_queue): (Arc<str>, bool) = match name {
            Name::Image(name) => (name.into(), false),
            Name::Queue(name) => (name.into(), true),
        };
        let key = self.arena.insert(Image {
            label: Arc::clone(&label),
            is_queue,
            evidence: Evidence::default(),
            used_at: now,
        });
        match is_queue {
            true => self.by_queue.insert(label, key),
            false => self.by_image.insert(label, key),
        };
        Some(key)
    }

    /// Removes the image that was not used for the longest time if the arena is full, and returns whether there is room.
    fn make_room(&mut self, now: Time) -> bool {
        if self.arena.len() < IMAGE_LIMIT {
            return true;
        }
        let unused = |image: &Image| now.since(image.used_at) >= RETENTION;
        let candidates = self.arena.iter().filter(|(_, image)| unused(image));
        let Some((oldest, _)) = candidates.min_by_key(|(_, image)| image.used_at) else {
            return false;
        };
        if let Some(removed) = self.arena.remove(oldest) {
            match removed.is_queue {
                true => self.by_queue.remove(&removed.label),
                false => self.by_image.remove(&removed.label),
            };
        }
        true
    }
}
