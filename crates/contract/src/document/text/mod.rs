//! Parser of JSON with comments into any deserialisable type. Errors name the position in the text.

mod error;
mod node;
mod source;
mod value_error;

pub use error::Error;
pub use source::{
    Source,
    parse, //
};
