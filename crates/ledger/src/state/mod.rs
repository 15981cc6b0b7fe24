//! State of the configuration and the results of applying records.

mod check;
mod error;
mod state;
mod table;
mod verdict;
mod writers;

pub use error::Error;
pub use state::{
    State,
    Status,
    Version, //
};
pub use table::{
    Key,
    TOMBSTONE_LIMIT, //
};
pub use verdict::Verdict;
pub use writers::WRITER_LIMIT;

pub use check::{
    CUSTOMER_LIMIT,
    ENTRY_LIMIT,
    HOST_LIMIT,
    POOL_LIMIT, //
};
