//! The observe thread: collects items from the rings and runs the observer and the admin endpoint.

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
