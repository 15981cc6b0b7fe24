//! State of the configuration, built by applying the records of the stream `config` in order.
//!
//! The crate detects stale and repeated changes, checks values against each other, and takes over the state from
//! snapshots and peers. It does no I/O: other crates read, append and encode records.

pub mod record;
pub mod schedule;
pub mod state;

pub use record::{
    Change,
    Entry,
    Image,
    Origin,
    Record,
    Revision,
    Snapshot,
    WriterState, //
};
pub use schedule::{
    Retention,
    Schedule, //
};
pub use state::{
    Error,
    State,
    Status,
    Verdict,
    Version, //
};
