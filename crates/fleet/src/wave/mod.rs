//! The planner of maintenance waves.

mod control;
mod draft;
mod forecast;
mod plan;
mod rules;
mod stop;

pub use control::{
    pause,
    resume,
    skip, //
};
pub(crate) use draft::Draft;
pub use draft::{
    Action,
    Join,
    Proposal, //
};
pub use forecast::{
    Cause as LateCause,
    Forecast,
    forecast, //
};
pub use plan::{
    is_running,
    plan, //
};
pub use rules::Rules;
pub use stop::{
    Evidence,
    evidence,
    is_excessive, //
};
