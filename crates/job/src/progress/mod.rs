//! Progress of a job, as the leader stores it.

mod progress;

pub use progress::{
    Assignment,
    Outcome,
    Progress,
    Start,
    Suspicion,
    Task, //
};
