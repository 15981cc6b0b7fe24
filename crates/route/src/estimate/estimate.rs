//! Moving average that limits the influence of one sample.

use core::time::Duration;

/// Weight of one sample after the first 4, as a right shift: 1/16.
const WEIGHT_SHIFT_LIMIT: u32 = 4;

/// Largest factor by which a sample may differ from the average; it is clamped beyond.
///
/// Declared sizes of requests can be wrong by orders of magnitude. With this factor, one sample moves the average by
/// at most 3/16 after the first 4.
const OUTLIER_FACTOR: u64 = 4;

/// Longest sample: an hour. It keeps the arithmetic far from overflow.
const SAMPLE_LIMIT_US: u64 = 3_600_000_000;

/// Exponentially weighted moving average of durations.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    micros: u64,
    samples: u32,
}

impl Estimate {
    /// Returns the average, or `None` without a sample.
    pub(crate) fn get(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_micros(self.micros))
    }

    /// Returns the average on a logarithmic scale with four steps for each factor of two; 0 without a sample.
    ///
    /// Differences below a step are noise and must not decide between upstreams.
    pub(crate) fn log_step(&self) -> u8 {
        if self.samples == 0 {
            return 0;
        }
        let octave = self.micros.max(4).ilog2();
        let quarter = (self.micros.max(4) >> (octave - 2)) & 3;
        u8::try_from(octave * 4 + u32::try_from(quarter).unwrap_or(0)).unwrap_or(u8::MAX)
    }

    /// Adds a sample to the average.
    pub(crate) fn record(&mut self, sample: Duration) {
        let sample = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX);
        let sample = sample.clamp(1, SAMPLE_LIMIT_US);
        if self.samples == 0 {
            self.micros = sample;
            self.samples = 1;
            return;
        }
        let lowest = (self.micros / OUTLIER_FACTOR).max(1);
        let highest = self.micros.saturating_mul(OUTLIER_FACTOR);
        let sample = sample.clamp(lowest, highest);
        let shift = self.samples.min(WEIGHT_SHIFT_LIMIT);
        let weight = 1_u64 << shift;
        // Rounds to nearest, so that the average neither drifts down nor sticks above a constant sample.
        self.micros = (self.micros * (weight - 1) + sample + weight / 2) >> shift;
        self.samples = self.samples.saturating_add(1);
    }
}
