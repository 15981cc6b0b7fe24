//! The state that results from applying the log's records in order.

mod entry;
mod replica;

pub use entry::{
    Entry,
    Key, //
};
pub use replica::{
    Change,
    Count,
    Replica,
    State, //
};
