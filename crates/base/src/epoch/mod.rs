//! Epochs of leads, and the fences of orders that follow from them.

mod epoch;

pub use epoch::{
    MAX_GENERATION,
    fence,
    next,
    round, //
};
