//! Serialised form of configuration values in documents, log records and peer messages.

mod contract;
mod pool;
mod reservation;
mod value;

pub use contract::{
    Class,
    Contract, //
};
pub use pool::{
    Assignment,
    Pool, //
};
pub use reservation::{
    Absence,
    Finish,
    Maintenance,
    Progress,
    Reservation,
    Step,
    Wave, //
};
pub use value::{
    Error,
    Value, //
};
