//! What a caller asks for.

mod check;
mod job;
mod step;

pub use check::Error;
pub use job::{
    Job,
    Repeat,
    Terms, //
};
pub use step::{
    Resource,
    Step, //
};
