//! Structured log lines and metrics of the decisions of a process.
//!
//! Threads record [`Event`]s in bounded rings and never wait. One thread writes a line for each and serves counters
//! and histograms.

mod event;
mod line;
mod metrics;
mod sink;
mod thread;

pub use event::{
    Event,
    Value, //
};
pub use line::Limiter;
pub use metrics::{
    Error,
    Metrics, //
};
pub use sink::{
    Sink,
    Source,
    sink, //
};
pub use thread::{
    Setup,
    run, //
};
