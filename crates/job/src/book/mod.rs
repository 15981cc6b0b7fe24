//! The fold of the log's records.

mod book;
mod entry;

pub use book::{
    Book,
    Change,
    State, //
};
pub use entry::{
    Entry,
    Key, //
};
