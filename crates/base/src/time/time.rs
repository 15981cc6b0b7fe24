//! Point in time with microsecond resolution.

use core::{
    ops::{
        Add,
        Sub, //
    },
    time::Duration, //
};

/// Point in time in microseconds since the Unix epoch; arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// The earliest time.
    pub const MIN: Self = Self(0);
    /// The latest time; as a deadline it means that there is none.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a time from microseconds since the Unix epoch.
    #[inline]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a time from milliseconds since the Unix epoch.
    #[inline]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the Unix epoch.
    #[inline]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the Unix epoch.
    #[inline]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time that has passed since `earlier`, or zero if `earlier` is later than `self`.
    #[inline]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    #[inline]
    fn add(self, duration: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    #[inline]
    fn sub(self, duration: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}
