//! Idempotency keys that callers send with their requests.

mod id;
mod key;

pub use id::Id;
pub use key::{
    Error,
    Key, //
};
