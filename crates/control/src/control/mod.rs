//! The thread that decides: fold of the log, leadership, scheduling.

mod calls;
mod control;
mod lead;
mod output;
mod run;

pub use control::{
    Control,
    Identity, //
};
pub(crate) use lead::FOLLOWER_PACE;
pub use output::Output;
pub use run::{
    Ports,
    run, //
};
