//! Token bucket for rate limits.

use sassafrascrank_base::prelude::*;

/// Unit of the level; with integers, a replay of the same calls gives exactly the same results.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;
/// Longest wait that is returned.
///
/// A bucket without rate or burst never has a token, but a later contract may change that.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
/// Smallest step back of the time that counts as an adjustment of the clock.
///
/// After an adjustment, the bucket refills from the new time on; it would otherwise stay empty until the clock reaches
/// the old time again. Smaller steps come from times that are passed out of order. They must not move the time of the
/// last refill back, or each pair of such calls would add tokens.
const MIN_CLOCK_ADJUSTMENT: Duration = Duration::from_secs(1);

/// Token bucket that refills at a constant rate up to its burst size.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// Tokens per second.
    per_second: u64,
    /// Highest level in microtokens.
    burst: u64,
    /// Microtokens in the bucket.
    level: u64,
    last_refill: Time,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(now: Time, per_second: u32, burst: u32) -> Self {
        Self {
            per_second: per_second.into(),
            burst: u64::from(burst) * MICROTOKENS_PER_TOKEN,
            level: u64::from(burst) * MICROTOKENS_PER_TOKEN,
            last_refill: now,
        }
    }

    /// Changes rate and burst; the level stays, but at most the new burst.
    pub fn resize(&mut self, now: Time, per_second: u32, burst: u32) {
        self.refill(now);
        self.per_second = per_second.into();
        self.burst = u64::from(burst) * MICROTOKENS_PER_TOKEN;
        self.level = self.level.min(self.burst);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available if none is. It is an hour for a bucket without rate or burst.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= MICROTOKENS_PER_TOKEN {
            self.level -= MICROTOKENS_PER_TOKEN;
            return Ok(());
        }
        if self.per_second == 0 || self.burst == 0 {
            return Err(MAX_WAIT);
        }
        let missing = MICROTOKENS_PER_TOKEN - self.level;
        let wait = Duration::from_micros(missing.div_ceil(self.per_second));
        // After a small step back of the time, the bucket refills only from the latest time on.
        Err(wait + self.last_refill.since(now))
    }

    fn refill(&mut self, now: Time) {
        if self.last_refill.since(now) >= MIN_CLOCK_ADJUSTMENT {
            self.last_refill = now;
        }
        let elapsed = u64::try_from(now.since(self.last_refill).as_micros()).unwrap_or(u64::MAX);
        // Tokens per second equal microtokens per microsecond.
        let gained = elapsed.saturating_mul(self.per_second);
        self.level = self.level.saturating_add(gained).min(self.burst);
        self.last_refill = self.last_refill.max(now);
    }
}
