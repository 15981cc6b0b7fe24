//! An entry process: its settings, its threads and the rings that connect them.

pub mod clock;
pub mod dispatch;
pub mod peer;
pub mod platform;
pub mod process;
pub mod settings;

pub use process::Process;
pub use settings::Settings;
