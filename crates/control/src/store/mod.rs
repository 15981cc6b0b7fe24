//! The thread that talks to the platform's log.

mod append;
mod lane;
mod message;
mod outlet;
mod store;
mod tail;

pub use lane::Lane;
pub use message::{
    Event,
    Request,
    Written, //
};
pub use store::{
    Store,
    run, //
};
