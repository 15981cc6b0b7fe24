//! Table of the pools with their availability and budgets.

mod pools;
mod row;

pub use pools::{
    HELP,
    run, //
};
pub use row::{
    Row,
    Table,
    Wave, //
};
