//! Ordered appends with retries.

mod appender;

pub use appender::{
    Appender,
    Event,
    Full,
    QUEUE_LIMIT, //
};
