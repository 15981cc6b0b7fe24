//! Log records and their serialised form.

mod leader;
mod record;
mod wire;

pub use record::{
    Demand,
    HostOrder,
    Leader,
    Lease,
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
