//! Client of the platform's HTTP interface.

mod client;

pub use client::{
    Client,
    Limits, //
};
