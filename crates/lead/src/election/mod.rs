//! Leader election, as one entry takes part in it.

mod election;
mod timing;

pub use election::{
    Claim,
    Election,
    Observation,
    Rank,
    Role,
    Writer, //
};
pub use timing::Timing;
