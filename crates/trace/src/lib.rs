//! Structured log lines and metrics for the decisions of a process.
//!
//! Threads record [`Event`]s in bounded rings without blocking. One thread writes a log line for each event and serves
//! counters and histograms over HTTP in the Prometheus text format.

mod event;
mod limiter;
mod metrics;
mod sink;
mod thread;

pub use event::{
    Event,
    Value, //
};
pub use limiter::Limiter;
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
