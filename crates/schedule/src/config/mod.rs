//! Configuration by operators, and timing rules of the engine.

mod config;
mod rules;

pub use config::{
    Config,
    Pool,
    Queue, //
};
pub use rules::Rules;
