//! The front thread, which serves callers' connections and the readiness probe.

mod answer;
mod connection;
mod exchange;
mod front;
mod message;
mod relay;

pub use answer::Answer;
pub use front::{
    Front,
    run, //
};
pub use message::{
    Notice,
    Query,
    Request, //
};
