//! Publication of an operator's configuration changes.

mod publish;

pub use publish::{
    Error,
    Outcome,
    publish,
    publish_entries, //
};
