//! Evidence on the tasks of one image.

use super::{
    Key,
    Sample, //
};
use sassafrascrank_base::prelude::*;

/// Largest number of images beside one image. It bounds the time of a solution.
const PAIRS_PER_IMAGE: usize = 64;
/// Number of rounds of a solution. Each begins with the result of the last one, which few samples change much.
const ROUNDS: usize = 6;
/// Weight of the assumption that an image beside another one is harmless. With little evidence it keeps noise from looking
/// like interference.
const HARMLESS_WEIGHT: f64 = 0.3;

/// Smallest standard deviation of a sample. Few samples may agree by chance, and reports are rough.
const REPORT_DEVIATION: f64 = 0.1;

/// Evidence on an image beside tasks of another one. Sums are over samples, each times its weight.
#[derive(Clone, Debug)]
pub(super) struct Pair {
    /// The image beside it.
    pub(super) beside: Key,
    /// Sum of its presence.
    pub(super) presence: f64,
    /// Sum of the square of its presence.
    square: f64,
    /// Sum of its presence times the slowdown.
    slowdown: f64,
    /// For other images, the sum of its presence times theirs.
    together: Vec<(Key, f64)>,
    /// Number of samples.
    pub(super) samples: u32,
    /// Time of the latest sample.
    pub(super) seen_at: Time,
    /// What it adds to the slowdown.
    pub(super) added: f64,
    /// Whether the pair interferes.
    pub(super) interferes: bool,
}

impl Pair {
    const fn new(beside: Key) -> Self {
        Self {
            beside,
            presence: 0.0,
            square: 0.0,
            slowdown: 0.0,
            together: Vec::new(),
            samples: 0,
            seen_at: Time::MIN,
            added: 0.0,
            interferes: false,
        }
    }

    fn add_together(&mut self, image: Key, product: f64) {
        match self.together.iter_mut().find(|(known, _)| *known == image) {
            Some((_, sum)) => *sum += product,
            None => self.together.push((image, product)),
        }
    }
}

/// Evidence on the tasks of one image.
///
/// The slowdown of a task is taken as that of the image alone, plus what each image beside it adds times its presence. The
/// sums over all samples suffice to find the values for which this holds best.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// Sum of the weights of all samples.
    weight: f64,
    /// Sum of the slowdown.
    slowdown: f64,
    /// Sum of the square of the slowdown.
    square: f64,
    /// Slowdown alone.
    pub(super) alone: f64,
    /// Images beside it, sorted by their keys.
    pub(super) pairs: Vec<Pair>,
    /// Whether there are samples that the solution lacks.
    changed: bool,
}

impl Evidence {
    /// Adds a sample of the given weight. At most `room` pairs are added. Returns their number, and that of pairs without
    /// room.
    pub(super) fn record(
        &mut self,
        sample: &Sample<'_>,
        slowdown: f64,
        weight: f64,
        room: usize,
        now: Time,
    ) -> (usize, usize) {
        let (mut added, mut missed) = (0, 0);
        for beside in sample.beside {
            let Err(place) = self.find(beside.image) else {
                continue;
            };
            if added < room && self.pairs.len() < PAIRS_PER_IMAGE {
                self.pairs.insert(place, Pair::new(beside.image));
                added += 1;
            } else {
                missed += 1;
            }
        }
        self.changed = true;
        self.weight += weight;
        self.slowdown += weight * slowdown;
        self.square += weight * slowdown * slowdown;
        for beside in sample.beside {
            let Ok(place) = self.find(beside.image) else {
                continue;
            };
            let presence = weight * beside.presence;
            let pair = &mut self.pairs[place];
            pair.presence += presence;
            pair.square += presence * beside.presence;
            pair.slowdown += presence * slowdown;
            pair.samples = pair.samples.saturating_add(1);
            pair.seen_at = now;
            let others = sample.beside.iter();
            for other in others.filter(|other| other.image != beside.image) {
                if self.find(other.image).is_ok() {
                    self.pairs[place].add_together(other.image, presence * other.presence);
                }
            }
        }
        (added, missed)
    }

    /// Returns the place of a pair, or the one at which it would have to be inserted.
    fn find(&self, beside: Key) -> Result<usize, usize> {
        self.pairs.binary_search_by_key(&beside, |pair| pair.beside)
    }

    /// Multiplies all sums.
    pub(super) fn scale(&mut self, factor: f64) {
        self.weight *= factor;
        self.slowdown *= factor;
        self.square *= factor;
        for pair in &mut self.pairs {
            pair.presence *= factor;
            pair.square *= factor;
            pair.slowdown *= factor;
            for (_, sum) in &mut pair.together {
                *sum *= factor;
            }
        }
    }

    /// Keeps the pairs that meet a condition.
    pub(super) fn retain(&mut self, mut keeps: impl FnMut(&Pair) -> bool) {
        let former = self.pairs.len();
        self.pairs.retain(&mut keeps);
        if self.pairs.len() < former {
            let keys: Vec<Key> = self.pairs.iter().map(|pair| pair.beside).collect();
            for pair in &mut self.pairs {
                pair.together
                    .retain(|(image, _)| keys.binary_search(image).is_ok());
            }
            self.changed = true;
        }
    }

    /// Finds the slowdown alone, and what each image adds, if there are new samples. `unit` is the weight of a new sample.
    ///
    /// In turn each value is set to the mean of what the others do not explain.
    pub(super) fn solve(&mut self, unit: f64) {
        if !core::mem::take(&mut self.changed) || self.weight <= 0.0 {
            return;
        }
        let place = |(image, sum): &(Key, f64)| Some((self.find(*image).ok()?, *sum));
        let together = |pair: &Pair| pair.together.iter().filter_map(place).collect();
        let together: Vec<Vec<(usize, f64)>> = self.pairs.iter().map(together).collect();
        for _ in 0..ROUNDS {
            let explained = self.pairs.iter().map(|pair| pair.added * pair.presence);
            self.alone = ((self.slowdown - explained.sum::<f64>()) / self.weight).max(0.0);
            for (index, others) in together.iter().enumerate() {
                let others = others
                    .iter()
                    .map(|&(other, sum)| self.pairs[other].added * sum);
                let explained: f64 = others.sum();
                let pair = &mut self.pairs[index];
                let rest = pair.slowdown - self.alone * pair.presence - explained;
                pair.added = (rest / (pair.square + HARMLESS_WEIGHT * unit)).max(0.0);
            }
        }
    }

    /// Returns the variance of what the solution does not explain.
    fn variance(&self) -> f64 {
        let explained = self.pairs.iter().map(|pair| pair.added * pair.slowdown);
        let rest = self.square - self.alone * self.slowdown - explained.sum::<f64>();
        rest.max(0.0) / self.weight + REPORT_DEVIATION * REPORT_DEVIATION
    }

    /// Returns the standard deviation of what a pair adds: of the difference between the samples with the image and those
    /// without it. `unit` is the weight of a new sample.
    pub(super) fn deviation(&self, pair: &Pair, unit: f64) -> f64 {
        let without = (self.weight - pair.presence).max(0.0);
        let spread = unit / pair.presence + unit / without;
        (self.variance() * spread).sqrt()
    }
}
