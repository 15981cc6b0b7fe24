//! The fold of the log's records.

mod entry;
mod replica;

pub use entry::{
    Entry,
    Key, //
};
pub use replica::{
    Change,
    Replica,
    State, //
};
