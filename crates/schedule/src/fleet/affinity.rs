//! Shares of a pool's work that require each label or rack.

use sassafrascrank_base::prelude::*;
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// Factor by which past work loses weight each second. The work of several demand peaks still counts.
const DECAY_PER_SECOND: f64 = 0.97;
/// Share of the work below which a label is dropped once the table is full.
const MIN_SHARE: f64 = 0.002;
/// Largest number of labels in the table. Beyond it, those with the smallest shares are dropped.
const LABEL_LIMIT: usize = 256;

/// Shares of a pool's work that require each label or rack.
#[derive(Clone, Debug, Default)]
pub(crate) struct Affinity {
    /// All work, with past work weighed down.
    total: f64,
    /// The part of it that requires each label or rack.
    work_by_label: HashMap<Arc<str>, f64>,
    updated: Option<Time>,
}

impl Affinity {
    /// Records submitted work, and the part of it that requires each label or rack.
    pub(crate) fn record<'a>(
        &mut self,
        total: f64,
        label_parts: impl Iterator<Item = (&'a str, f64)>,
        now: Time,
    ) {
        let spent = self.updated.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.updated = Some(now);
        let decay = DECAY_PER_SECOND.powf(spent);
        self.total = self.total * decay + total;
        for part in self.work_by_label.values_mut() {
            *part *= decay;
        }
        for (label, work) in label_parts {
            match self.work_by_label.get_mut(label) {
                Some(part) => *part += work,
                None => {
                    self.work_by_label.insert(label.into(), work);
                }
            }
        }
        let mut minimum = self.total * MIN_SHARE;
        while self.work_by_label.len() > LABEL_LIMIT {
            self.work_by_label.retain(|_, part| *part > minimum);
            minimum *= 2.0;
        }
    }

    /// Returns the required labels and racks, with their shares of all work.
    pub(crate) fn shares(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let total = self.total.max(f64::MIN_POSITIVE);
        self.work_by_label
            .iter()
            .map(move |(label, part)| (label, part / total))
    }
}
