//! Choice of an upstream: free slots, health, draining, and the partition of slots between entries.
//!
//! [`Router`] holds the upstreams of one pool as one entry sees them; [`partition`] computes the quotas that the
//! router enforces. Both are free of I/O, and the present time is an argument.

mod estimate;
mod health;
mod heap;
pub mod partition;
mod router;

pub use health::HealthState;
pub use router::{
    AttemptResult,
    Attributes,
    Counters,
    Drain,
    DrainSource,
    Router,
    Status, //
};
