//! Validated configuration values.

mod contract;
mod pool;
mod reservation;
mod subject;

pub use contract::{
    Class,
    Contract,
    DIGEST_BYTES,
    Rate, //
};
pub use pool::{
    Assignment,
    Pool, //
};
pub use reservation::{
    Absence,
    Cause,
    Finish,
    Maintenance,
    Progress,
    Reservation,
    Step,
    Wave, //
};
pub use subject::{
    ParseError,
    Subject,
    Value, //
};
