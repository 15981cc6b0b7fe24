//! Leader election among the entries, the processes that accept callers' requests, by claims in a shared log.
//!
//! A claim is a log record with a higher epoch than all before it. The log rejects appends of lower epochs, so that a
//! former leader can't write any more. This crate decides when an entry claims the lead, and for how long a leader may
//! send orders without a confirmed append. It does no I/O.

pub mod election;

pub use election::{
    Election,
    Timing, //
};
