//! Keys of configured names, and snapshots of the configuration for other threads.

mod catalog;
mod snapshot;

pub use catalog::Catalog;
pub use snapshot::{
    Customer,
    Host,
    Pool,
    Snapshot,
    Upstream, //
};
