//! Command line of the tool: verbs, errors, exit codes.

mod error;
mod exit;
mod run;
mod text;

pub use error::Error;
pub use exit::Exit;
pub use run::{
    HELP,
    run, //
};
pub(crate) use run::{
    addresses,
    block_on,
    print,
    unexpected,
    value, //
};
pub use text::describe;
