//! The scheduling engine, which the leader runs.

mod account;
mod admit;
mod advice;
mod balance;
mod contention;
mod crash;
mod doubt;
mod end;
mod engine;
mod evict;
mod gang;
mod host;
mod late;
mod loss;
mod pace;
mod place;
mod poll;
mod quarantine;
mod report;
mod restore;
mod run;
mod runners;
mod separate;
mod share;
mod store;
mod straggler;
mod suspicion;
mod tick;
mod wave;

pub use engine::{
    Engine,
    Takeover, //
};
pub use tick::Permission;
