//! Leadership by claims in the log.
//!
//! A claim is a record with a higher epoch. The log rejects appends of lower epochs, so that a former leader can't
//! write; this crate decides when an entry claims and for how long a leader may order without a confirmed append.

pub mod election;

pub use election::{
    Seat,
    Timing, //
};
