//! Traits and types for the platform's log and host list.

mod directory;
mod error;
mod log;

pub use directory::{
    Condition,
    Directory,
    Host, //
};
pub use error::Error;
pub use log::{
    Item,
    Log,
    Page,
    RECORD_LIMIT,
    Stream, //
};
