//! The verb `demo`: a small deployment in one process, under load from several customers. One of them floods it, and
//! then one entry shuts down.

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
    CUSTOMERS,
    Plan, //
};
