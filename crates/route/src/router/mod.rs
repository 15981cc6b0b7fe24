//! Upstreams of one pool and the choice among them.

mod attributes;
mod member;
mod router;
mod status;
mod zone;

pub use attributes::{
    AttemptResult,
    Attributes,
    DrainSource, //
};
pub use router::Router;
pub use status::{
    Counters,
    Drain,
    Status, //
};
