//! One entry process: its threads and the rings between them.

mod process;
mod settings;
mod thread;

pub use process::{
    Error,
    Process, //
};
pub use settings::Settings;
