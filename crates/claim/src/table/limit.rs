//! Bounds and counters of the table.

use core::time::Duration;

/// Bounds of one table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Number of keyed requests.
    pub requests: usize,
    /// Bytes of all stored answers; each running request reserves `answer_bytes` of them.
    pub total_bytes: usize,
    /// Bytes of the largest answer that is stored.
    pub answer_bytes: usize,
    /// How long a request is kept after its end.
    pub retention: Duration,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Requests that were allowed to run.
    pub run: u64,
    /// Requests that waited for a running request with the same key.
    pub wait: u64,
    /// Requests that got a stored answer.
    pub replay: u64,
    /// Requests that were refused because their key was used with another fingerprint.
    pub conflict: u64,
    /// Requests that were refused because the table was full.
    pub full: u64,
    /// Requests that were dropped after the retention.
    pub expired: u64,
}

impl Limit {
    /// Default bounds: a retention of 10 min, and answers of up to 64 KiB.
    ///
    /// 131,072 requests are 218 a second for 10 min; an expected load of 1,000 a second on a zone of 8 entries is 125 a
    /// second for each. 64 MiB are a quarter of the memory budget of a daemon.
    pub const DEFAULT: Self = Self {
        requests: 131_072,
        total_bytes: 64 << 20,
        answer_bytes: 64 << 10,
        retention: Duration::from_secs(10 * 60),
    };
}

impl Default for Limit {
    fn default() -> Self {
        Self::DEFAULT
    }
}
