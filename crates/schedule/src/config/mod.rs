//! What operators configure, and the times that the engine keeps.

mod config;
mod rules;

pub use config::{
    Config,
    Pool,
    Queue, //
};
pub use rules::Rules;
