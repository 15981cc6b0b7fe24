//! State of runners, from the service list and from their answers.

mod former;
mod listed;
mod runner;

pub use former::Former;
pub use listed::{
    Change,
    Listed, //
};
pub use runner::{
    Key,
    Runner, //
};
