//! What the engine wants done, and what came of it.

mod order;
pub mod report;

pub use order::{
    Act,
    Host,
    Look,
    Order,
    Pace,
    Start,
    Stop,
    Target, //
};
