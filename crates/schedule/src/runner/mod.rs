//! Runners, as the service list and their answers show them.

mod listed;
mod runner;

pub use listed::{
    Change,
    Listed, //
};
pub use runner::{
    Key,
    Runner, //
};
