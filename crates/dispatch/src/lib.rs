//! Admission, queueing, routing and retries of one entry process, joined into one engine.
//!
//! An entry is a process that accepts requests of customers and forwards them to upstreams. The entries of all
//! availability zones divide the slots of the upstreams between themselves.

pub mod catalog;
pub mod engine;

pub use catalog::{
    Catalog,
    Snapshot, //
};
pub use engine::{
    Arrival,
    Decision,
    Engine, //
};
