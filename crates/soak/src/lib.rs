//! A seeded run of entry processes against the stand-in of the platform, judged by the rules on jobs.
//!
//! The program starts no process: it tells the script `soak/run` by lines on its standard output which entry to start
//! or to signal.

pub mod account;
pub mod caller;
pub mod crowd;
pub mod fault;
pub mod job;
pub mod judge;
pub mod link;
pub mod report;
pub mod run;
pub mod site;
pub mod sort;
