//! The known peers: when each was last heard, when the next report is due, and what it carries.

mod demand;
mod drain_notice;
mod event;
mod exchange;
mod limit;
mod peer;
mod plan;
mod roster;

pub use event::{
    Count,
    Event, //
};
pub use exchange::Status;
pub use limit::{
    BYTES_PER_SECOND_BUDGET,
    DRAIN_NOTICE_SPAN,
    LAG_LIMIT,
    PEER_LIMIT,
    PLATFORM_BYTES_PER_SECOND,
    REPORT_INTERVAL,
    RETIREMENT_LIMIT,
    SILENCE_LIMIT, //
    STATE_REQUEST_INTERVAL,
};
pub use peer::{
    Key,
    Peer, //
};
pub use plan::Plan;
pub use roster::Roster;
