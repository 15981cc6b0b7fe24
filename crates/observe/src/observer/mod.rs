//! The actor that owns the time line, the metrics and the status.

mod log;
pub mod message;
mod observer;

pub use observer::Observer;
