//! The front thread, which serves callers' connections and the readiness probe.

mod connection;
mod exchange;
mod front;
mod message;

pub use front::{
    Front,
    run, //
};
pub use message::{
    Notice,
    Query,
    Request, //
};
