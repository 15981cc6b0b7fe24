//! Serialised form of the messages, and their limits.

mod blob;
mod codec;
mod connection_state;
mod error;
mod handover;
mod host;
mod image;
mod limit;
mod member;
mod report;
mod state;

pub use codec::{
    decode,
    encode, //
};
pub use connection_state::ConnectionState;
pub use error::Error;
pub use handover::Handover;
pub use limit::{
    DEMAND_LIMIT,
    DRAIN_NOTICE_LIMIT,
    HANDOVER_ITEM_LIMIT,
    HANDOVER_LIMIT,
    HEADER_LIMIT,
    REPORT_LIMIT,
    STATE_LIMIT,
    SUBJECT_LIMIT,
    VERSION,
    ZONE_LIMIT, //
    ZONE_MEMBER_LIMIT,
};
pub use member::View;
pub use report::Report;
pub use state::State;
