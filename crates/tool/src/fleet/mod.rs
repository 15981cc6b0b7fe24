//! The fleet as the log and the platform's host list describe it.

mod availability;
mod options;
mod publish;
mod text;
mod view;

pub use availability::Availability;
pub(crate) use options::Flags;
pub(crate) use publish::{
    Options,
    publish, //
};
pub(crate) use text::{
    current_time,
    describe_duration,
    describe_progress,
    describe_step,
    or_dash, //
};
pub use view::{
    View,
    read, //
};
