//! A small deployment in one process that is flooded by one customer and shuts one entry down.

mod caller;
mod demo;
mod deployment;
pub mod jobs;
mod load;
mod plan;
pub mod report;
pub mod sample;
mod table;

pub use demo::{
    HELP,
    run, //
};
pub use plan::{
    HOUSES,
    Plan, //
};
