//! Contracts, pools, host assignments and reservations: parsing, validation and serialisation.

pub mod document;
pub mod model;
pub mod wire;

pub use model::{
    Assignment,
    Class,
    Contract,
    Pool,
    Rate,
    Reservation,
    Subject,
    Value, //
};
