//! Explanations of the state of a host, a pool or the wave.

mod answer;
mod why;

pub use answer::{
    Answer,
    Host,
    Late,
    Wave, //
};
pub use why::{
    HELP,
    run, //
};
