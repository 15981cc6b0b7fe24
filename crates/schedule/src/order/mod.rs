//! Orders of the engine, and reports on their results.

mod envelope;
mod order;
pub mod report;

pub use envelope::Envelope;
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
