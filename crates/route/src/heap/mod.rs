//! Priority queue whose items can change their rank.

mod heap;

pub(crate) use heap::Heap;
