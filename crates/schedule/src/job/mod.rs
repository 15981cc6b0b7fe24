//! State of active jobs: occurrences, steps, tasks and their runs.

mod job;
mod key;
pub mod run;
pub mod starts;
mod task;

pub use job::{
    ActiveJob,
    Advice,
    DurationSum,
    Occurrence,
    StepState, //
};
pub use key::{
    Key,
    StepKey,
    TaskKey, //
};
pub use run::Run;
pub use starts::Starts;
pub use task::{
    State,
    Task, //
};
