//! What the engine decided, for logs and metrics.

mod note;

pub use note::{
    Kind,
    Note, //
};
