//! An engine with runners and hosts that carry out its orders at once, in virtual time.

mod account;
mod execute;
mod fault;
mod fixture;
mod harness;
mod restart;
mod takeover;

pub(crate) use fault::{
    Planned,
    Refused, //
};
pub(crate) use fixture::{
    RUNNER_SLOTS,
    START_TIME,
    job,
    long_running,
    step, //
};
pub(crate) use harness::Harness;
