//! Moves of hosts between pools.

mod moves;

pub use moves::{
    Demand,
    plan, //
};
