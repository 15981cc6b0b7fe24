//! The front thread, which serves callers' connections and the readiness probe.

mod access;
mod answer;
pub mod authority;
pub mod budget;
mod connection;
mod exchange;
mod front;
mod intake;
mod message;
mod peers;
mod relay;
mod reply;
mod statement;

pub use access::Access;
pub use answer::Answer;
pub use authority::{
    Confirmation,
    Judgement,
    Principal,
    Statement, //
};
pub use front::{
    Front,
    run, //
};
pub use message::{
    Notice,
    Query,
    Request, //
};
pub use peers::Peers;
