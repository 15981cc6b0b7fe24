//! Status of several entries.

mod status;
pub mod summary;
mod table;

pub use status::{
    HELP,
    run, //
};
