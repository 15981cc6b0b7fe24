//! A host, as described by log records and platform reports.

use super::rack;
use sassafrascrank_base::prelude::*;

/// Whether a host is in service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The host is in service.
    Healthy {
        /// When it last became healthy.
        since: Time,
    },
    /// The host has failed.
    Failed {
        /// When it failed.
        since: Time,
    },
}

/// Work that a host must complete before it may be rebooted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// The host has no work.
    Idle,
    /// The host has work.
    Busy {
        /// Declared time until the work is complete; the actual time may differ widely.
        remaining: Duration,
        /// Whether the work can be moved to another host.
        movable: bool,
    },
}

impl Work {
    /// Returns the declared time until the work is complete, zero for an idle host.
    pub fn remaining(self) -> Duration {
        match self {
            Self::Idle => Duration::ZERO,
            Self::Busy { remaining, .. } => remaining,
        }
    }
}

/// What the platform reports about a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Whether the host is in service.
    pub health: Health,
    /// Work that the host still has.
    pub work: Work,
    /// When the host last booted.
    pub booted: Time,
}

/// A host and what is known about it.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the host.
    pub name: Name,
    /// Pool that the host is assigned to.
    pub pool: Option<pool::Key>,
    /// Offset of the assignment record, 0 if there is none.
    pub assignment_offset: u64,
    /// Zone and rack; `None` until the platform lists the host.
    pub location: Option<(availability_zone::Key, rack::Key)>,
    /// Latest platform report; `None` until the platform lists the host.
    pub observation: Option<Observation>,
    /// Start of the latest reported failure, kept after the host recovers.
    pub failed_at: Option<Time>,
}

impl Host {
    /// Returns when the host became healthy, or `None` if it has failed or was never reported.
    pub fn healthy_since(&self) -> Option<Time> {
        match self.observation?.health {
            Health::Healthy { since } => Some(since),
            Health::Failed { .. } => None,
        }
    }

    /// Returns when the host failed, or `None` if it is healthy.
    ///
    /// A host that was never reported counts as failed since [`Time::MIN`].
    pub fn failed_since(&self) -> Option<Time> {
        match self.observation.map(|observation| observation.health) {
            Some(Health::Healthy { .. }) => None,
            Some(Health::Failed { since }) => Some(since),
            None => Some(Time::MIN),
        }
    }
}
