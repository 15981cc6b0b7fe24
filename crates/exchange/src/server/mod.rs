//! The exchange thread: listener, life of a request, shutdown.

mod admission;
mod body;
mod context;
mod exchange;
mod job;
mod limit;
mod listener;
mod outbox;
mod pump;
mod relay;
mod request;
mod response;
mod upload;
mod waiter;

pub use body::{
    RequestBody, //
    ResponseBody,
};
pub use exchange::{
    Control,
    Exchange,
    Port, //
};
pub use limit::Limit;
