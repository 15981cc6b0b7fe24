//! Client accounts: what runs for each, how much more may start, and whose turn it is.

mod account;
mod bucket;
mod gate;
mod share;
mod stray;
mod turn;
mod usage;

pub use account::{
    Account,
    Key,
    Slot,
    cap_admits, //
};
pub use bucket::{
    Bucket,
    Standing, //
};
pub use gate::Gate;
pub use share::{
    Share,
    Shares, //
};
pub use stray::{
    Stray,
    Strays, //
};
pub use turn::Turns;
pub use usage::Usage;
