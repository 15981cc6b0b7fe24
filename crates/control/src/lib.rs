//! The threads of an entry process that accepts jobs: callers, decisions, log, and orders.
//!
//! Every thread has one duty; bounded rings join them. What the platform speaks lies behind the traits in [`port`].

pub mod clock;
pub mod control;
pub mod drive;
pub mod front;
pub mod port;
pub mod process;
pub mod store;

pub use process::{
    Process,
    Settings, //
};
