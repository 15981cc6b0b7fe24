//! Health of one upstream as learned from attempts.

mod health;
mod window;

pub(crate) use health::Health;
pub use health::HealthState;
