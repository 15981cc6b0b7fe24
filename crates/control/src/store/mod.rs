//! The store thread, which reads the platform's log and appends to it.

mod appender;
mod message;
mod sender;
mod store;
mod tail;
mod writer;

pub use appender::Appender;
pub use message::{
    Event,
    Request,
    Written, //
};
pub use store::{
    Store,
    run, //
};
pub use writer::CHUNK_LIMIT_BYTES;
