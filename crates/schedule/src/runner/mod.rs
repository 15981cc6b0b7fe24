//! State of runners, from the service list and from their answers.

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
