//! Hosts, maintenance waves, and the demand on each pool.

mod affinity;
pub mod demand;
mod fleet;
pub mod host;
pub mod rate;
mod wave;

pub(crate) use affinity::Affinity;
pub use demand::Demand;
pub use fleet::Fleet;
pub use host::Host;
pub use rate::{
    Rate,
    Urgency, //
};
pub use wave::Wave;
