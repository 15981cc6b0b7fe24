//! HTTP client of the tool: connections, connection pools, and reads from admin endpoints.

mod admin;
mod connection;
mod pool;

pub use admin::{
    Error,
    Reply,
    read_all, //
};
pub use connection::{
    Answer,
    Connection,
    Failure, //
};
pub use pool::Pool;
