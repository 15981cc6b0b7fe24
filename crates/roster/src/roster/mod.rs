//! The seats as one entry knows them, and what it does about them.

mod roster;
mod timing;

pub use roster::{
    Action,
    Roster, //
};
pub use timing::Timing;
