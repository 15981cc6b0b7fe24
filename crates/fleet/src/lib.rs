//! Pools of hosts, availability budgets and maintenance waves.
//!
//! The crate makes decisions and does no I/O. The owner applies log records to an [`Inventory`], passes the current
//! time to [`wave::plan`] and appends the proposals to the log. Each proposal names the offset that it is based on, so
//! the ledger accepts only one of several proposals that race.

pub mod budget;
pub mod explain;
pub mod inventory;
pub mod moves;
pub mod wave;

pub use budget::Budget;
pub use inventory::Inventory;
pub use wave::{
    Proposal,
    Rules, //
};
