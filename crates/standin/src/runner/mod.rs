//! Stand-in for the upstream process on a host.

mod faults;
mod runner;
mod service;

pub use faults::Faults;
pub use runner::{
    Runner,
    Settings, //
};
