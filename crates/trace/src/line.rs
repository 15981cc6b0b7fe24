//! A bound on the number of log lines.

use sassafrascrank_base::prelude::*;

/// Lines that are written at once after a pause.
const BURST: f64 = 2_000.0;

/// Tokens that lines of routine leave to others.
const RESERVE: f64 = 500.0;

/// A token bucket of log lines.
#[derive(Clone, Debug)]
pub struct Limiter {
    rate: f64,
    tokens: f64,
    refilled: Time,
    /// Lines that were left out since the last one that was written.
    suppressed: u64,
}

impl Limiter {
    /// Makes a limiter of `rate` lines a second.
    pub fn new(rate: f64, now: Time) -> Self {
        Self {
            rate,
            tokens: BURST,
            refilled: now,
            suppressed: 0,
        }
    }

    /// Tells whether a line may be written, and how many were left out before it. Lines of routine leave a reserve.
    pub fn admit(&mut self, routine: bool, now: Time) -> Option<u64> {
        let gained = now.since(self.refilled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(BURST);
        self.refilled = now;
        let least = if routine { RESERVE } else { 0.0 };
        if self.tokens < least + 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(core::mem::take(&mut self.suppressed))
    }
}
