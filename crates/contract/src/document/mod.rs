//! Configuration documents, which operators write in JSON with comments.

mod document;
pub mod text;

pub use document::{
    Document,
    Error, //
};
