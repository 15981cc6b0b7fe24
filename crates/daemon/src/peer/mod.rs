//! The peer thread, which exchanges messages with the other entry processes.

mod answer;
mod handler;
mod port;
mod thread;

pub use answer::{
    from_stored,
    to_stored, //
};
pub use port::{
    LocalState,
    Notice,
    PeerReport,
    Port, //
};
pub use thread::{
    PeerThread,
    Setup, //
};
