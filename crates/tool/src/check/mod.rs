//! Check of a configuration document or a settings file.

mod check;
mod location;

pub(crate) use check::read_document;
pub use check::{
    HELP,
    run, //
};
