//! Hierarchical fair queue of one pool: slots are shared between customers, then between the urgency classes of each.

mod heap;
mod queue;

pub use queue::{
    Class,
    Grant,
    Queue,
    Request, //
};
