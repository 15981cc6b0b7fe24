//! Monotonic wall-clock time.

use sassafrascrank_base::time::Time;
use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::{
        SystemTime,
        UNIX_EPOCH, //
    },
};

/// Latest time that was returned, in microseconds since the Unix epoch.
static LATEST_MICROS: AtomicU64 = AtomicU64::new(0);

/// Returns the current time. After the system clock is set back, returns the latest time until the clock catches up.
pub fn now() -> Time {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    Time::from_micros(
        LATEST_MICROS
            .fetch_max(micros, Ordering::Relaxed)
            .max(micros),
    )
}
