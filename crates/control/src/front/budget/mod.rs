//! How many connections the front thread serves, and how many bytes their requests hold.
//!
//! Decisions without I/O: [`Budget`] names the connections that have to give way, and its caller closes them.

mod budget;
mod connection;
mod limits;

pub use budget::{
    Budget,
    Refused, //
};
pub use connection::{
    Key,
    Origin, //
};
pub use limits::{
    BODY_LIMIT_BYTES,
    Limits,
    body_deadline, //
};
