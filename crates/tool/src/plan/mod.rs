//! Preview of what a configuration document would change.

mod plan;
mod preview;
mod text;

pub use plan::{
    HELP,
    run, //
};
pub use preview::{
    Effect,
    Move,
    Preview,
    Shortage, //
};
