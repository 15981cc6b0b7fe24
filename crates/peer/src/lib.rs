//! Communication between entries, the processes that accept the requests of callers: messages, their serialised form,
//! server, client and schedule.
//!
//! Messages are MessagePack over HTTP/1.1. The module [`roster`] keeps the known peers and decides to whom a report is
//! due; it uses neither sockets nor a clock.

pub mod client;
pub mod message;
pub mod roster;
pub mod server;
pub mod wire;
