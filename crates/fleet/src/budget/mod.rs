//! Availability of pools and failure domains, and whether a host may be taken out of service.

mod budget;
mod domain;

pub use budget::{
    Budget,
    Refusal,
    check,
    is_failed, //
};
pub use domain::{
    Domain,
    domains,
    reserved_zone, //
};
