//! Settings of an entry process.

mod settings;

pub use settings::{
    Error,
    Settings, //
};
