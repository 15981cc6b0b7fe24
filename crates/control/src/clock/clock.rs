//! A clock that runs on while the host is suspended.

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

/// A clock that never goes back and runs on while the host is suspended.
///
/// A leader that was suspended has to see that its tenure has ended, which the monotonic clock would hide. The clock
/// starts at the time of day, so that times of different processes can be compared roughly.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Microseconds to add to the time since boot.
    offset: u64,
}

impl Clock {
    /// Makes a clock that shows the time of day now.
    pub fn new() -> Self {
        Self {
            offset: wall().as_micros().saturating_sub(boot()),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Time {
        Time::from_micros(boot() + self.offset)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time of day, which may jump.
pub fn wall() -> Time {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Time::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

/// Returns the microseconds since boot, with those for which the host was suspended.
fn boot() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanos = u64::try_from(tv_nsec).unwrap_or_default();
    seconds * 1_000_000 + nanos / 1_000
}
