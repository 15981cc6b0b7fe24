//! Client for the messages to one peer.

mod client;
mod connection;
mod error;

pub use client::{
    Client,
    Limit, //
};
pub use error::Error;
