//! Stand-ins for external systems with seeded faults, for tests and the demo.

pub mod cluster;
mod listener;
pub mod platform;
pub mod runner;

pub use platform::Platform;
pub use runner::Runner;
