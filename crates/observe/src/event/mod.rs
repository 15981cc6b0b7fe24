//! Events, which any thread records without blocking or allocating.

mod event;
mod kind;
pub mod request;
mod sink;

pub use event::Event;
pub use kind::Kind;
pub use sink::{
    Sink,
    Source,
    ring, //
};
