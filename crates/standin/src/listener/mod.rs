//! Listeners of the stand-ins.

mod listener;

pub(crate) use listener::listen;
