//! Jobs as callers submit them, and the checks of a submission.

mod check;
mod job;
mod step;

pub use check::Error;
pub use job::{
    Job,
    Policy,
    Repeat, //
};
pub use step::{
    Resource,
    Step, //
};
