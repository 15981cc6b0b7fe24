//! Clock samples from which the ends of leases are computed.

mod clock;

pub use clock::ClockSample;
