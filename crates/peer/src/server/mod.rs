//! Server for the messages of peers.

mod handler;
mod limit;
mod reply;
mod server;
mod session;

pub use handler::{
    Handler,
    Refusal, //
};
pub use limit::{
    Count,
    Limit, //
};
pub use server::Server;
