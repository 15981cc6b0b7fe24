//! Exchange thread: listener, request handling and graceful shutdown.

mod admission;
mod body;
mod context;
mod exchange;
mod handler;
mod inbox;
mod limit;
mod listener;
mod outbox;
mod relay;
mod request;
mod response;
mod upload;
mod waiter;

pub use body::{
    RequestBody,
    ResponseBody, //
};
pub use exchange::{
    Control,
    Exchange,
    Port, //
};
pub use limit::Limit;
