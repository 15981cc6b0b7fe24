//! Merged time line of several entries.

mod line;
mod timeline;

pub use line::render;
pub use timeline::{
    HELP,
    run, //
};
