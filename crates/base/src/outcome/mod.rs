//! Outcome of a request, as reported to its caller.

mod reason;
mod refusal;

pub use reason::Reason;
pub use refusal::{
    Outcome,
    Refusal, //
};
