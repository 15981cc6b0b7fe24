//! Records of the log and their serialised form.

mod lead;
mod record;
mod wire;

pub use record::{
    Leader,
    Ordered,
    Record,
    Turn,
    Turns,
    Wave, //
};
pub use wire::{
    Error,
    decode,
    encode,
    keys, //
};
