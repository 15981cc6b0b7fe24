//! Entries that accept jobs on the stand-in of the users' platform, through a wave and the loss of the leader.

mod deployment;
mod jobs;
mod report;

pub use jobs::run;
pub use report::{
    Kept,
    Summary, //
};
