//! Start and graceful shutdown of the threads of an entry process.

mod listener;
mod process;
mod threads;
mod wiring;

pub use process::{
    Error,
    Options,
    Process, //
};
