//! Table of the hosts of the fleet.

mod hosts;
mod row;

pub use hosts::{
    HELP,
    run, //
};
pub use row::{
    Row,
    Table, //
};
