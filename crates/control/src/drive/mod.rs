//! The drive thread, which carries out the orders of the scheduler, also for a leader on another entry.

mod delegate;
mod drive;
mod executor;
mod frame;
mod wire;

pub use drive::{
    Drive,
    Executor,
    Request,
    run, //
};
