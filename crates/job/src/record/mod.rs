//! Records of the log and their serialised form.

mod record;
mod wire;

pub use record::{
    Leader,
    Record,
    Wave, //
};
pub use wire::{
    Error,
    decode,
    encode,
    keys, //
};
