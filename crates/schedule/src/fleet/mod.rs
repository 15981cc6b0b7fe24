//! Hosts, maintenance waves, and how many hosts each pool needs.

pub mod demand;
mod fleet;
pub mod host;
mod wave;

pub use demand::Demand;
pub use fleet::Fleet;
pub use host::Host;
pub use wave::Wave;
