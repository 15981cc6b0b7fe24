//! Token bucket for rate limits, and budget and back-off for retries.
//!
//! They do no I/O; the current time and random numbers are arguments.

mod backoff;
mod bucket;
mod budget;

pub use backoff::Backoff;
pub use bucket::Bucket;
pub use budget::Budget;
