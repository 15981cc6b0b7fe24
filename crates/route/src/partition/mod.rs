//! Division of the slots of upstreams between the live entries, as a pure function of what they reported.
//!
//! [`target_quotas`] gives the target parts of one entry, [`Quota`] lets a target take effect without two entries using a
//! slot, [`initial_quotas`] gives the first parts of a new process, and [`Demand`] measures what an entry reports.

mod claim;
mod demand;
mod divide;
mod hash;
mod quota;

pub use demand::{
    Demand,
    MILLISLOTS_PER_SLOT, //
};
pub use divide::{
    Entry,
    SILENCE_LIMIT,
    Upstream,
    initial_quotas,
    target_quotas, //
};
pub use quota::{
    Quota,
    REPORT_INTERVAL, //
};
