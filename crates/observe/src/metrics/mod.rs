//! OpenTelemetry metrics and their Prometheus text form.

mod bound;
mod gauge;
mod registry;

pub use bound::{
    Bound,
    CUSTOMER_LIMIT,
    LABEL_SET_LIMIT, //
    POOL_LIMIT,
};
pub use registry::{
    Error,
    Registry, //
};
