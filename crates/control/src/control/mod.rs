//! The control thread, which applies the records of the log, takes part in the election, and schedules as the leader.

mod activity;
mod calls;
mod control;
mod lead;
mod membership;
mod operator;
mod output;
mod readiness;
mod run;

pub use control::{
    Control,
    Identity, //
};
pub(crate) use lead::FOLLOWER_READ_INTERVAL;
pub use output::Output;
pub use run::{
    Channels,
    run, //
};
