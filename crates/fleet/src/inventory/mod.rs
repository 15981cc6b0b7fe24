//! Pools and hosts, as described by log records and platform reports.

mod host;
mod inventory;
mod pool;
pub mod rack;

pub use host::{
    Health,
    Host,
    Observation,
    Work, //
};
pub use inventory::Inventory;
pub use pool::Pool;
