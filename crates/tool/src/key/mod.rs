//! Idempotency keys.

mod key;

pub use key::{
    HELP,
    run, //
};
