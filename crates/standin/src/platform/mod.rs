//! Stand-in for the platform's log and host list, with faults.

mod faults;
mod platform;
mod service;
mod store;

pub use faults::{
    Faults,
    Outage, //
};
pub use platform::{
    Platform,
    Settings, //
};
pub use store::Host;
