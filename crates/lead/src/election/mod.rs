//! The seat of the leader, as one entry sees it.

mod election;
mod timing;

pub use election::{
    Claim,
    Heard,
    Role,
    Seat, //
};
pub use timing::Timing;
