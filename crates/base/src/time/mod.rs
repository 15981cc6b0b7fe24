//! Points in time. Decisions receive the current time as an argument instead of reading a clock.

mod time;

pub use time::Time;
