//! The verbs `drain` and `move`, by which an operator takes a host out of service.

mod decision;
mod drain;

pub use decision::{
    Reason,
    decide, //
};
pub use drain::{
    DRAIN_HELP,
    MOVE_HELP,
    run_drain,
    run_move, //
};
