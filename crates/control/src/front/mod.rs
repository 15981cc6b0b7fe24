//! The thread that holds callers' connections and says whether the entry is ready.

mod connection;
mod exchange;
mod front;
mod message;

pub use front::{
    Front,
    run, //
};
pub use message::{
    Notice,
    Query,
    Request, //
};
