//! The table of pairs of images.

use super::{
    Change,
    Key,
    Name,
    Partner,
    Sample,
    decay::Decay,
    evidence::Pair,
    image::Images, //
};
use sassafrascrank_base::prelude::*;

/// Largest number of pairs.
const PAIR_LIMIT: usize = 1_024;
/// Number of pairs that are evicted at once if the table is full. More new ones than that wait for the next update, so that
/// the cost of a sample does not depend on the size of the table.
const EVICTED_AT_ONCE: usize = 64;
/// Time between two updates of what interferes.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Slowdown above which a report counts as nonsense. The platform's callers give up long before it.
const SLOWDOWN_LIMIT: f64 = 100.0;
/// Largest slowdown that counts, so that one report can't outweigh all others.
const SLOWDOWN_MAX: f64 = 4.0;
/// Smallest slowdown alone against which others are compared. Background tasks are sped up while latencies are below 55% of
/// their target, so less than that counts as undisturbed.
const ALONE_MIN: f64 = 0.5;
/// Factor of the slowdown alone above which a pair interferes.
const FOUND_FACTOR: f64 = 1.25;
/// Factor below which it no longer does. The gap keeps a pair near the limit from changing with each report.
const ENDED_FACTOR: f64 = 1.15;
/// Weight that has to be exceeded for a pair to interfere. A background task is throttled after the first report of a high
/// latency, so that the following ones have little weight.
const FOUND_WEIGHT: f64 = 0.5;
/// Number of samples from which a pair may interfere. Single reports are rough.
const FOUND_SAMPLES: u32 = 2;
/// Weight below which a pair no longer interferes. Background tasks that are throttled yield little new evidence.
const ENDED_WEIGHT: f64 = 0.3;
/// Number of standard deviations by which an image has to add to the slowdown. Durations of tasks differ without any
/// interference.
const DEVIATIONS: f64 = 2.0;
/// Time without a sample after which a pair no longer interferes, however many samples there were: four half-lives.
const RETENTION: Duration = Duration::from_secs(20);
/// Weight below which a pair is removed.
const REMOVED_WEIGHT: f64 = 0.05;
/// Unit of the expected slowdown that placement compares. Smaller differences are noise, and must not outrank the other
/// preferences.
pub(super) const STEP: f64 = 0.25;

/// A pair that interferes.
#[derive(Clone, Copy, Debug)]
struct Interference {
    affected: Key,
    beside: Key,
    /// Expected slowdown in steps of [`STEP`].
    steps: u32,
    /// Slowdown as a factor of the one alone.
    factor: f64,
}

/// Size of the table, and what found no room in it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Number of images.
    pub images: usize,
    /// Number of pairs.
    pub pairs: usize,
    /// Number of pairs that interfere.
    pub interfering: usize,
    /// Number of pairs that were evicted because the table was full.
    pub evicted: u64,
    /// Number of times that an image or a pair found no room.
    pub untracked: u64,
    /// Number of samples that were nonsense.
    pub rejected: u64,
}

/// The table of pairs of images.
#[derive(Clone, Debug, Default)]
pub struct Table {
    images: Images,
    decay: Decay,
    /// Number of pairs.
    pairs: usize,
    /// Pairs that interfere.
    interfering: Vec<Interference>,
    updated: Time,
    evicted: u64,
    untracked: u64,
    rejected: u64,
}

impl Table {
    /// Returns whether no pair interferes, so that placement has nothing to consider.
    pub const fn is_quiet(&self) -> bool {
        self.interfering.is_empty()
    }

    /// Returns the key of an image, which is added if there is room.
    pub fn intern(&mut self, name: Name<'_>, now: Time) -> Option<Key> {
        self.images.intern(name, now)
    }

    /// Returns the images that interfere with an image.
    pub fn partners(&self, name: Name<'_>) -> Vec<Partner> {
        let mut partners: Vec<Partner> = Vec::new();
        let Some(image) = self.images.find(name).filter(|_| !self.is_quiet()) else {
            return partners;
        };
        for pair in &self.interfering {
            let others = [
                (pair.affected == image).then_some((pair.beside, pair.steps, 0)),
                (pair.beside == image).then_some((pair.affected, 0, pair.steps)),
            ];
            for (other, suffered, caused) in others.into_iter().flatten() {
                match partners.iter_mut().find(|known| known.image == other) {
                    Some(known) => {
                        known.suffered += suffered;
                        known.caused += caused;
                    }
                    None => partners.push(Partner {
                        image: other,
                        suffered,
                        caused,
                    }),
                }
            }
        }
        partners
    }

    /// Returns the size of the table, and what found no room in it.
    pub fn summary(&self) -> Summary {
        Summary {
            images: self.images.arena.len(),
            pairs: self.pairs,
            interfering: self.interfering.len(),
            evicted: self.evicted,
            untracked: self.untracked + self.images.untracked,
            rejected: self.rejected,
        }
    }

    /// Returns the pairs that interfere most, at most `limit`.
    pub fn strongest(&self, limit: usize) -> Vec<Change> {
        let mut pairs: Vec<&Interference> = self.interfering.iter().collect();
        pairs.sort_by(|left, right| right.factor.total_cmp(&left.factor));
        let pairs = pairs.into_iter().take(limit);
        let change =
            |pair: &Interference| self.change(pair.affected, pair.beside, pair.factor, true);
        pairs.filter_map(change).collect()
    }

    /// Adds an observation. Nonsense is counted and changes nothing.
    pub fn observe(&mut self, sample: &Sample<'_>, now: Time) {
        let is_valid = |value: f64, limit: f64| value > 0.0 && value <= limit;
        let valid = is_valid(sample.slowdown, SLOWDOWN_LIMIT)
            && is_valid(sample.weight, 1.0)
            && sample
                .beside
                .iter()
                .all(|beside| is_valid(beside.presence, 1.0));
        if !valid {
            self.rejected += 1;
            return;
        }
        let room = PAIR_LIMIT - self.pairs;
        let Some(image) = self.images.arena.get_mut(sample.affected) else {
            return;
        };
        image.used_at = now;
        let slowdown = sample.slowdown.min(SLOWDOWN_MAX);
        let weight = sample.weight * self.decay.weight(now);
        let (added, missed) = image.evidence.record(sample, slowdown, weight, room, now);
        self.pairs += added;
        self.untracked += missed as u64;
        for beside in sample.beside {
            if let Some(other) = self.images.arena.get_mut(beside.image) {
                other.used_at = now;
            }
        }
    }

    /// Finds out which pairs interfere, if that is due, and returns those for which it has changed.
    pub fn update(&mut self, now: Time) -> Vec<Change> {
        if now < self.updated + UPDATE_INTERVAL {
            return Vec::new();
        }
        self.updated = now;
        if let Some(factor) = self.decay.renew(now) {
            for image in self.images.arena.values_mut() {
                image.evidence.scale(factor);
            }
        }
        if self.pairs == 0 && self.is_quiet() {
            return Vec::new();
        }
        let unit = self.decay.weight(now);
        self.remove_faded(unit);
        self.evict();
        self.interfering.clear();
        let mut changes = Vec::new();
        for (affected, image) in &mut self.images.arena {
            image.evidence.solve(unit);
            let alone = image.evidence.alone;
            for index in 0..image.evidence.pairs.len() {
                let pair = &image.evidence.pairs[index];
                let factor = pair.factor(alone);
                let interferes = pair.interferes_at(factor, unit, now)
                    && (pair.interferes
                        || pair.added > DEVIATIONS * image.evidence.deviation(pair, unit));
                let pair = &mut image.evidence.pairs[index];
                if interferes {
                    let steps = ((factor - 1.0) / STEP).round() as u32;
                    self.interfering.push(Interference {
                        affected,
                        beside: pair.beside,
                        steps: steps.max(1),
                        factor,
                    });
                }
                if interferes != pair.interferes {
                    pair.interferes = interferes;
                    changes.push((affected, pair.beside, factor, interferes));
                }
            }
        }
        let changes = changes.into_iter();
        let changes = changes.filter_map(|(affected, beside, factor, found)| {
            self.change(affected, beside, factor, found)
        });
        changes.collect()
    }

    fn change(&self, affected: Key, beside: Key, factor: f64, found: bool) -> Option<Change> {
        Some(Change {
            affected: self.images.arena.get(affected)?.label.clone(),
            beside: self.images.arena.get(beside)?.label.clone(),
            percent: (factor * 100.0).round() as u64,
            found,
        })
    }

    /// Removes pairs without evidence, and those of images that were removed. A pair that interferes stays until that has
    /// ended.
    fn remove_faded(&mut self, unit: f64) {
        let mut known: Vec<Key> = self.images.arena.keys().collect();
        known.sort_unstable();
        self.pairs = 0;
        for image in self.images.arena.values_mut() {
            image.evidence.retain(|pair| {
                known.binary_search(&pair.beside).is_ok()
                    && (pair.interferes || pair.presence >= REMOVED_WEIGHT * unit)
            });
            self.pairs += image.evidence.pairs.len();
        }
    }

    /// Evicts the pairs with the least weight if the table is full. Those that interfere stay.
    fn evict(&mut self) {
        if self.pairs < PAIR_LIMIT {
            return;
        }
        let images = self.images.arena.values();
        let pairs = images.flat_map(|image| &image.evidence.pairs);
        let pairs = pairs.filter(|pair| !pair.interferes);
        let mut weights: Vec<f64> = pairs.map(|pair| pair.presence).collect();
        weights.sort_unstable_by(f64::total_cmp);
        let Some(&limit) = weights.get(EVICTED_AT_ONCE.min(weights.len().max(1) - 1)) else {
            return;
        };
        let mut excess = EVICTED_AT_ONCE;
        for image in self.images.arena.values_mut() {
            image.evidence.retain(|pair| {
                let evicted = excess > 0 && !pair.interferes && pair.presence <= limit;
                excess -= usize::from(evicted);
                !evicted
            });
        }
        let evicted = EVICTED_AT_ONCE - excess;
        self.pairs -= evicted;
        self.evicted += evicted as u64;
    }
}

impl Pair {
    /// Returns by how much the image slows down tasks whose slowdown alone is given, as a factor.
    fn factor(&self, alone: f64) -> f64 {
        let beside = alone + self.added;
        (beside / alone.max(ALONE_MIN)).max(1.0)
    }

    /// Returns whether the pair interferes. `unit` is the weight of a new sample.
    fn interferes_at(&self, factor: f64, unit: f64, now: Time) -> bool {
        let weight = self.presence / unit;
        let is_recent = now.since(self.seen_at) < RETENTION;
        is_recent
            && match self.interferes {
                true => factor >= ENDED_FACTOR && weight >= ENDED_WEIGHT,
                false => {
                    factor > FOUND_FACTOR && weight > FOUND_WEIGHT && self.samples >= FOUND_SAMPLES
                }
            }
    }
}
