//! Clock that keeps running while the host is suspended.

use rustix::time::{
    ClockId,
    Timespec,
    clock_gettime, //
};
use sassafrascrank_base::time::Time;
use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

/// Clock that never goes back and keeps running while the host is suspended.
///
/// A leader that was suspended has to notice that its lease has ended, but `CLOCK_MONOTONIC` stands still meanwhile.
/// The clock starts at the wall-clock time, so that times of different processes can be compared roughly.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Microseconds to add to the time since boot.
    offset_us: u64,
}

impl Clock {
    /// Returns a clock that starts at the present wall-clock time.
    pub fn new() -> Self {
        Self {
            offset_us: wall().as_micros().saturating_sub(since_boot_us()),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Time {
        Time::from_micros(since_boot_us() + self.offset_us)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the wall-clock time, which may jump.
pub fn wall() -> Time {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Time::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

/// Returns the microseconds since boot, including the time for which the host was suspended.
fn since_boot_us() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanos = u64::try_from(tv_nsec).unwrap_or_default();
    seconds * 1_000_000 + nanos / 1_000
}
