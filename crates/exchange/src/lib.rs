//! HTTP proxy between callers and upstreams.
//!
//! An exchange thread accepts the connections of callers, asks the dispatch thread what to do with each request, and
//! sends the request to an upstream over a connection of its own. Both ends of a request stay on that one thread.

pub mod caller;
pub mod message;
pub mod server;
pub mod upstream;

pub use message::{
    Message,
    Reply, //
};
pub use server::{
    Control,
    Exchange,
    Limit,
    Port, //
};
