//! Jobs under way: occurrences, steps, tasks and their runs.

mod key;
pub mod run;
mod task;
mod work;

pub use key::{
    Key,
    StepKey,
    TaskKey, //
};
pub use run::Run;
pub use task::{
    State,
    Task, //
};
pub use work::{
    Advice,
    Done,
    Occurrence,
    StepState,
    Work, //
};
