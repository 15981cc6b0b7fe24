//! HTTP/1.1 client connections that tell whether a failed request may have taken effect.

mod connection;
mod failure;
mod pool;

pub use connection::{
    Connection,
    Limits,
    Message,
    Response,
    Transfer, //
};
pub use failure::{
    Failure,
    Fault, //
};
pub use pool::Pool;
