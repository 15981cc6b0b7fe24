//! What a process has to know at its start.

use crate::control::{
    Control,
    Identity, //
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use std::sync::Arc;

/// What a process has to know at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry, which no other living process has.
    pub name: Arc<str>,
    /// Processor in thousandths of a core.
    pub capacity: u32,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for questions whether the entry is ready.
    pub readiness: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: Option<SocketAddr>,
    /// Time after a request to stop after which the platform ends the process by force.
    pub grace: Duration,
    /// Time for which the state of an ended job is kept.
    pub retention: Duration,
    /// Times of the leadership.
    pub lead: sassafrascrank_lead::Timing,
    /// Times and limits of the scheduler.
    pub rules: sassafrascrank_schedule::Rules,
}

impl Settings {
    /// Returns the state of the thread of decisions.
    pub(super) fn control(&self, identity: Identity, now: Time) -> Control {
        Control::new(identity, self.lead, self.rules, self.retention, now)
    }

    /// Returns the name and life of the process that starts at `wall`, the time of day.
    pub(super) fn identity(&self, wall: Time) -> Identity {
        Identity {
            name: Arc::clone(&self.name),
            incarnation: wall.as_micros(),
            capacity: self.capacity,
        }
    }
}
