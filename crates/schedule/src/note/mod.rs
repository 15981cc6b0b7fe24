//! Notes on decisions and events of the engine, for logs and metrics.

mod group;
mod note;

pub use group::{
    Group,
    Subject,
    group, //
};
pub use note::{
    Kind,
    Miss,
    Note, //
};
