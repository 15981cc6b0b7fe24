//! Current status of the process, as its threads report it.

mod status;
pub mod update;
pub mod wire;

pub use status::Status;
pub use update::Update;
