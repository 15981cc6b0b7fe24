//! Orders of the engine, and reports on their results.

mod order;
pub mod report;

pub use order::{
    Action,
    Host,
    Order,
    Pace,
    Poll,
    Start,
    Stop,
    Target, //
};
