//! Division of the slots of upstreams between the live entries, as a pure function of their reported demand.
//!
//! [`Demand`] measures what an entry reports. [`target_quotas`] computes the target quotas of one entry from all
//! reports, and [`Quota`] puts a target into force late enough that no two entries use a slot at once.
//! [`initial_quotas`] computes the quotas of a new process that has no reports yet.

mod demand;
mod hash;
mod quota;
mod targets;
mod totals;

pub use demand::{
    Demand,
    MILLISLOTS_PER_SLOT, //
};
pub use quota::{
    Quota,
    REPORT_INTERVAL, //
};
pub use targets::{
    Entry,
    SILENCE_LIMIT,
    Upstream,
    initial_quotas,
    target_quotas, //
};
