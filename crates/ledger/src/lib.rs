//! Fold of the configuration stream: bases, repeats, snapshots and handover between peers.
//!
//! The crate decides only; reading, appending and the encoding of records lie in other crates.

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
