//! The observe thread.

mod collector;
mod handle;
mod start;

pub use collector::Collector;
pub use handle::Handle;
pub use start::{
    Error,
    Setup,
    start, //
};
