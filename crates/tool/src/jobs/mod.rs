//! What the platform's log holds of jobs, their leader and maintenance waves.

mod host;
mod job;
mod jobs;
mod overview;
mod state;

pub use host::Host;
pub use job::Job;
pub use jobs::{
    HELP,
    run, //
};
pub use overview::Overview;
pub use state::State;
