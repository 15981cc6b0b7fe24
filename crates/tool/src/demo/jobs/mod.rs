//! Demo of jobs: entries accept jobs on a stand-in of the users' platform, during a maintenance wave and a change of
//! the leader.

mod deployment;
mod jobs;
mod report;

pub use jobs::run;
pub use report::{
    Counts,
    Summary, //
};
