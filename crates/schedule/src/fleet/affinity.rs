//! Labels and racks that the work of a pool asks for.

use sassafrascrank_base::prelude::*;
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// Weight of the past in a share, for each second. The work of some turns counts.
const DECAY_PER_SECOND: f64 = 0.97;
/// Share of the work below which a label is forgotten, so that the table stays small.
const MIN_SHARE: f64 = 0.002;
/// Labels that are kept at most; beyond it those of the smallest shares go.
const LABEL_LIMIT: usize = 256;

/// Shares of the work of a pool that ask for a label or a rack.
#[derive(Clone, Debug, Default)]
pub(crate) struct Affinity {
    total: f64,
    parts: HashMap<Arc<str>, f64>,
    updated: Option<Time>,
}

impl Affinity {
    /// Notes submitted work, with the part of it that asks for each label or rack.
    pub(crate) fn record<'a>(
        &mut self,
        total: f64,
        parts: impl Iterator<Item = (&'a str, f64)>,
        now: Time,
    ) {
        let spent = self.updated.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.updated = Some(now);
        let decay = DECAY_PER_SECOND.powf(spent);
        self.total = self.total * decay + total;
        for part in self.parts.values_mut() {
            *part *= decay;
        }
        for (label, work) in parts {
            match self.parts.get_mut(label) {
                Some(part) => *part += work,
                None => {
                    self.parts.insert(label.into(), work);
                }
            }
        }
        let mut minimum = self.total * MIN_SHARE;
        while self.parts.len() > LABEL_LIMIT {
            self.parts.retain(|_, part| *part > minimum);
            minimum *= 2.0;
        }
    }

    /// Returns the labels and racks that work asks for, with their shares of all work.
    pub(crate) fn shares(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let total = self.total.max(f64::MIN_POSITIVE);
        self.parts
            .iter()
            .map(move |(label, part)| (label, part / total))
    }
}
