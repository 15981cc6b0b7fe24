//! Decay of evidence.

use sassafrascrank_base::prelude::*;

/// Time in which evidence loses half of its weight. The behaviour of background tasks changes within seconds.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Number of half-lives after which sums are divided by the weight of a new sample, long before they overflow.
const HALF_LIVES_MAX: f64 = 64.0;

/// Decay of evidence. Instead of all sums becoming smaller, new samples get a larger weight, so that time costs nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Decay {
    /// When the weight of a new sample was 1.
    since: Time,
}

impl Decay {
    /// Returns the weight of a new sample.
    pub(super) fn weight(self, now: Time) -> f64 {
        let half_lives = now.since(self.since).as_secs_f64() / HALF_LIFE.as_secs_f64();
        half_lives.min(2.0 * HALF_LIVES_MAX).exp2()
    }

    /// Begins anew if new samples have become heavy. Returns the factor by which all sums have to be multiplied then.
    pub(super) fn renew(&mut self, now: Time) -> Option<f64> {
        let weight = self.weight(now);
        (weight > HALF_LIVES_MAX.exp2()).then(|| {
            self.since = now;
            weight.recip()
        })
    }
}
