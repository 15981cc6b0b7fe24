//! What the engine wants done, and what came of it.

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
