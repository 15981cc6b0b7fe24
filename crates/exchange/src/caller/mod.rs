//! Requests of callers: headers, credentials and problem details of refusals.

mod directory;
mod head;
pub mod header;
mod problem;

pub use directory::{
    Account,
    Directory, //
};
pub use head::{
    Error,
    Head,
    is_keyed, //
};
pub use problem::Problem;
