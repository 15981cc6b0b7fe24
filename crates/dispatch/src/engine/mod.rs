//! The engine that decides on admission, order, upstream and retries of each request.

mod arrival;
mod attempt;
mod backlog;
mod configure;
mod customer;
mod engine;
mod grant;
mod limit;
mod partition;
mod pool;
mod ticket;

pub use arrival::{
    Arrival,
    Decision,
    Target, //
};
pub use engine::Engine;
pub use limit::Limit;
pub use partition::{
    Demand,
    Peer, //
};
pub use pool::Load;
