//! Seats, and the records of their holders.

mod candidate;
mod key;
mod wire;

pub use candidate::Candidate;
pub use key::Key;
pub use wire::{
    Error,
    decode,
    encode, //
};
