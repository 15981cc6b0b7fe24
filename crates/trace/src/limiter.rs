//! Rate limit for log lines.

use sassafrascrank_base::prelude::*;

/// Size of the token bucket: lines that can be written at once after an idle period.
const BURST_LINES: f64 = 2_000.0;

/// Tokens that only lines of normal priority may use, so that frequent low-priority lines can't suppress them.
const RESERVED_LINES: f64 = 500.0;

/// A token bucket that holds one token for each log line that may be written.
#[derive(Clone, Debug)]
pub struct Limiter {
    /// Tokens added each second.
    rate: f64,
    tokens: f64,
    refilled_at: Time,
    /// Lines suppressed since the last one that was written.
    suppressed: u64,
}

impl Limiter {
    /// Creates a limiter of `rate` lines a second with a full bucket.
    pub fn new(rate: f64, now: Time) -> Self {
        Self {
            rate,
            tokens: BURST_LINES,
            refilled_at: now,
            suppressed: 0,
        }
    }

    /// Returns the number of lines suppressed since the last written one if this line may be written, and `None` if it
    /// is suppressed. Low-priority lines can't use the last `RESERVED_LINES` tokens.
    pub fn admit(&mut self, low_priority: bool, now: Time) -> Option<u64> {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refill).min(BURST_LINES);
        self.refilled_at = now;
        let reserved = if low_priority { RESERVED_LINES } else { 0.0 };
        if self.tokens < reserved + 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(core::mem::take(&mut self.suppressed))
    }
}
