//! Messages between an exchange thread and the dispatch thread.

mod answer;
mod message;

pub use answer::Answer;
pub use message::{
    Idempotency,
    Message,
    Reply, //
};
