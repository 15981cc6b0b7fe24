//! Records of the log and their serialised form.

mod lead;
mod record;
mod wire;

pub use record::{
    Demand,
    HostOrder,
    Leader,
    PoolDemand,
    Record,
    Wave, //
};
pub use wire::{
    Error,
    decode,
    encode,
    keys, //
};
