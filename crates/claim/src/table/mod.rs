//! Memory of keyed requests and their outcomes.

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
    Count,
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
