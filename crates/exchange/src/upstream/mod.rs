//! Connections to upstreams.

mod attempt;
mod connection;

pub use attempt::{
    Failure,
    attempt, //
};
pub use connection::{
    Connection,
    Connections, //
};
