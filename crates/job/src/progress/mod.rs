//! What has become of a job so far.

mod progress;

pub use progress::{
    Assignment,
    Outcome,
    Progress,
    Task, //
};
