//! Health of one upstream, derived from the results of attempts.

mod health;
mod window;

pub(crate) use health::Health;
pub use health::HealthState;
