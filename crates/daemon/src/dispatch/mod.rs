//! The dispatch thread, which owns the engine and the table of keyed requests.

mod dispatch;
mod keyed;
mod peering;
mod port;
mod recorder;
mod status;

pub use dispatch::{
    Dispatch,
    Setup, //
};
pub use port::{
    Channel,
    Directive,
    Port, //
};
