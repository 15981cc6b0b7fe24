//! Table of keyed requests with their states and answers.

mod handover;
mod limit;
mod state;
mod table;

pub use handover::{
    Error,
    Handover,
    Item, //
};
pub use limit::{
    Counters,
    Limit, //
};
pub use state::{
    Admission,
    Fingerprint,
    RequestState,
    Size,
    Slot, //
};
pub use table::Table;
