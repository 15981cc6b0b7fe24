//! An engine with runners and hosts that carry out its orders at once, in virtual time.

mod carry;
mod fixture;
mod rig;

pub(crate) use fixture::{
    EPOCH,
    ROOM,
    job,
    lasting,
    step, //
};
pub(crate) use rig::Rig;
