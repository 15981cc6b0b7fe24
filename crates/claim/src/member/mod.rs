//! Membership of entries by zone, derived from the records of the log's stream `member`.

mod entry;
mod fold;
mod record;
mod view;

pub use entry::{
    Entry,
    Member, //
};
pub use fold::{
    Effect,
    Error,
    Fold, //
};
pub use record::{
    Change,
    Record, //
};
pub use view::{
    HOST_LIMIT,
    Host,
    View,
    Zone, //
};
