//! When an entry may run a key for the first time: horizon, fences, and their confirmation.

mod confirm;
mod fence;
mod lease;
mod limit;
mod message;
mod permit;
mod round;

pub use fence::DEPARTURE_LIMIT;
pub use lease::{
    Error,
    Lease,
    State, //
};
pub use limit::Limit;
pub use message::{
    Answer,
    JoinAck,
    Request, //
};
pub use permit::Route;
