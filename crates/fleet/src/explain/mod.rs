//! Explanations of the current state of a host, a pool or the wave.

mod explain;
mod summary;

pub use explain::{
    Explanation,
    State,
    explain_host,
    explain_pool, //
};
pub use summary::{
    Summary,
    explain_wave, //
};
