//! The maintenance wave: its status, and the actions that pause, resume or change it.

mod status;
mod text;
mod wave;

pub use status::{
    Row, //
    Status,
};
pub use wave::{
    HELP,
    run, //
};
