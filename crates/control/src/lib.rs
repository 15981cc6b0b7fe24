//! An entry: a process that accepts jobs from callers and, while it is the leader, schedules them.
//!
//! Each thread has one duty, and bounded rings join them:
//!
//! - [`front`] serves callers' connections,
//! - [`control`] decides, and does no I/O,
//! - [`store`] reads the platform's log and appends to it,
//! - [`drive`] sends orders to runners and to the host service,
//! - `observe`, from the crate `trace`, writes logs and metrics.
//!
//! The protocols of the platform are behind the traits in [`port`].

pub mod clock;
pub mod control;
pub mod drive;
pub mod front;
pub mod port;
pub mod process;
pub mod store;

pub use process::{
    Listeners,
    Process,
    Settings, //
};
