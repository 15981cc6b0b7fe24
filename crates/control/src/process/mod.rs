//! An entry process: its threads and the rings between them.

mod listeners;
mod process;
mod settings;
mod shutdown;
mod thread;

pub use listeners::Listeners;
pub use process::{
    Error,
    Process, //
};
pub use settings::{
    Seats,
    Settings, //
};
pub use shutdown::Shutdown;
