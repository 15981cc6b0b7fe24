//! Rules on when an entry may run a key for the first time.
//!
//! A key carries its creation time. An entry runs a key only if it was created after the fence, up to which an earlier
//! owner may have run it, and not after the horizon, up to which the entry's view of the membership is confirmed.

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
