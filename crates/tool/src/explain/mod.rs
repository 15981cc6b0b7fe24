//! Where a job or request would go now, and why, without sending it.

mod demand;
mod explain;
mod explanation;
mod question;

pub use demand::{
    Demand,
    Row, //
};
pub use explain::{
    HELP,
    run, //
};
pub use explanation::Explanation;
pub use question::{
    Platform,
    Question, //
};
