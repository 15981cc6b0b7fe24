//! The seat of the leader, as one entry sees it.

mod rules;
mod seat;

pub use rules::Timing;
pub use seat::{
    Claim,
    Heard,
    Role,
    Seat, //
};
