//! Messages between entry processes.

mod demand;
mod handover;
mod host;
mod pool_hash;
mod report;
mod state;

pub use demand::{
    Demand,
    Level, //
};
pub use handover::{
    Handover,
    StoredAnswer, //
};
pub use host::Host;
pub use pool_hash::PoolHash;
pub use report::{
    DrainNotice, //
    Report,
    Sender,
};
pub use state::{
    KnownState,
    State, //
};
