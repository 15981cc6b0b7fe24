//! Stand-ins for the users' platform: log, runners and host service.
//!
//! [`Log`], [`Worker`] and [`Hosts`] are state machines that take the time as an argument, for tests in virtual time.
//! [`Cluster`] serves them over HTTP on loopback addresses, for end-to-end tests and the demo.

mod answer;
mod cluster;
mod entry;
mod hosts;
mod log;
mod network;
mod runner;
mod service;
mod snapshot;
mod state;
mod worker;

pub use cluster::Cluster;
pub use entry::Entry;
pub use hosts::{
    Host,
    Hosts,
    Phase, //
};
pub use log::{
    Appended,
    Log,
    Producer,
    Records,
    Rejected, //
};
pub use network::{
    Fault,
    Network,
    View, //
};
pub use snapshot::{
    Node,
    Record,
    Snapshot, //
};
pub use state::{
    Account,
    MAX_ATTEMPTS,
    Plan,
    Pool,
    Queue, //
};
pub use worker::{
    End,
    Execution,
    Refusal,
    Run,
    Start,
    Worker, //
};
