//! Choice of an upstream by free slots, health and draining, and the partition of slots between entries.
//!
//! An entry is a process that accepts requests from callers and dispatches them to upstreams. An upstream has a number
//! of slots, each for one request at a time, and several entries share them. [`Router`] holds the upstreams of one pool
//! as one entry sees them; [`partition`] computes the quotas of slots that the router enforces. Both do no I/O and take
//! the current time as an argument.

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
