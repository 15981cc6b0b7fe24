//! Which entries follow the jobs and may lead: a few seats in each availability zone, held through records of the log.
//!
//! An entry with a seat is a candidate: it reads all records of the jobs, answers questions about them and may become the
//! leader. The other entries pass callers' requests on to candidates. So the cost of reading grows with the number of jobs
//! and not with that of entries, and a lost leader has a handful of possible successors. A seat gives no right to order
//! anything; that takes the lead. This crate does no I/O.

pub mod roster;
pub mod seat;

pub use roster::{
    Roster,
    Timing, //
};
pub use seat::Candidate;
