//! A host, as records and the platform describe it.

use super::rack;
use sassafrascrank_base::prelude::*;

/// Whether a host serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// It serves.
    Healthy {
        /// When it last began to serve.
        since: Time,
    },
    /// It does not.
    Failed {
        /// When it ceased to serve.
        since: Time,
    },
}

/// Work that a host still has to end before it may be rebooted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// None.
    Idle,
    /// Some.
    Busy {
        /// Expected time until it ends, which may be far from the actual one.
        remaining: Duration,
        /// Whether it can be moved to another host.
        movable: bool,
    },
}

impl Work {
    /// Returns the expected time until the work ends.
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
    /// Whether the host serves.
    pub health: Health,
    /// Its work.
    pub work: Work,
    /// When it last booted.
    pub booted: Time,
}

/// A host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its name.
    pub name: Name,
    /// The pool that it is assigned to.
    pub pool: Option<pool::Key>,
    /// Offset of the assignment, 0 if there is none.
    pub offset: u64,
    /// Zone and rack; `None` until the platform lists the host.
    pub location: Option<(availability_zone::Key, rack::Key)>,
    /// Last report; `None` until the platform lists the host.
    pub observation: Option<Observation>,
    /// Start of the last failure that was reported.
    pub failed_at: Option<Time>,
}

impl Host {
    /// Returns since when the host serves, or `None` if it does not or nothing is known.
    pub fn healthy_since(&self) -> Option<Time> {
        match self.observation?.health {
            Health::Healthy { since } => Some(since),
            Health::Failed { .. } => None,
        }
    }

    /// Returns since when the host fails; a host that was never reported counts as failed.
    pub fn failed_since(&self) -> Option<Time> {
        match self.observation.map(|observation| observation.health) {
            Some(Health::Healthy { .. }) => None,
            Some(Health::Failed { since }) => Some(since),
            None => Some(Time::MIN),
        }
    }
}
