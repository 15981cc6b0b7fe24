//! Bounded single-producer, single-consumer rings that connect the threads of a process.

mod ring;
mod signal;

pub use ring::{
    Receiver,
    Sender,
    ring, //
};
pub use signal::Signal;
