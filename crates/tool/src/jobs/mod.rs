//! Jobs, their leader and maintenance waves, as recorded in the platform's log.

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
