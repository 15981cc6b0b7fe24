//! Time lines: the bounded, ordered records of each process, and the merge of several processes.

mod filter;
mod merge;
mod process;
mod record;
mod timeline;
pub mod wire;

pub use filter::{
    Filter,
    LIMIT_DEFAULT,
    LIMIT_MAX, //
};
pub use merge::merge;
pub use process::Process;
pub use record::Record;
pub use timeline::{
    CAPACITY_DEFAULT,
    RECORD_BYTES_MAX,
    Timeline, //
};
