//! Leases on the clock of a runner.

mod clock;

pub use clock::ClockSample;
