//! The engine of the leader.

mod admit;
mod advice;
mod balance;
mod end;
mod engine;
mod evict;
mod gang;
mod host;
mod inherit;
mod list;
mod look;
mod pace;
mod place;
mod report;
mod run;
mod store;
mod straggler;
mod tick;

pub use engine::{
    Engine,
    Takeover, //
};
