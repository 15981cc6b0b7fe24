//! Binary heap with removal by key.

mod heap;

pub(crate) use heap::Heap;
