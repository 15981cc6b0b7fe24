//! Publication of a configuration document.

mod publish;

pub(crate) use publish::describe;
pub use publish::{
    HELP,
    run, //
};
