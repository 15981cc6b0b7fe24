//! The platform thread, which owns the configuration, the membership stream and the host list.

mod follower;
mod membership;
mod port;
mod report;
mod snapshot;

pub use follower::Follower;
pub use port::Port;
