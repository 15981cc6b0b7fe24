//! Hosts, maintenance waves, and how many hosts each pool needs.

mod fleet;
pub mod host;
mod wave;

pub use fleet::Fleet;
pub use host::Host;
pub use wave::Wave;
