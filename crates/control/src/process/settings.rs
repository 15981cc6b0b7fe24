//! Settings of an entry process.

use crate::{
    control::{
        Control,
        Identity, //
    },
    front::budget::Limits,
};
use core::net::SocketAddr;
use sassafrascrank_base::{
    hash,
    prelude::*, //
};
use sassafrascrank_roster::{
    Candidate,
    Roster, //
};
use std::sync::Arc;

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry, which no other live process has.
    pub name: Arc<str>,
    /// Processor capacity in thousandths of a core.
    pub capacity: u32,
    /// Grace period: time from a request to stop until the platform kills the process.
    pub grace: Duration,
    /// Time for which the state of an ended job is kept.
    pub retention: Duration,
    /// Age of the last confirmation of the configuration up to which the entry decides on credentials; `None` without a
    /// limit.
    pub credential_limit: Option<Duration>,
    /// Durations of the leader election.
    pub lead: sassafrascrank_lead::Timing,
    /// Durations and limits of the scheduler.
    pub rules: sassafrascrank_schedule::Rules,
    /// Largest size of one append in bytes, which a single larger record exceeds.
    pub append_limit: usize,
    /// How the entry takes part in the seats; `None` if every entry reads the jobs and may lead.
    pub seats: Option<Seats>,
    /// Limits on connections and on the bytes that requests hold.
    pub limits: Limits,
    /// Bytes of jobs in memory above which no more are accepted.
    pub job_bytes: usize,
}

/// How an entry takes part in the seats.
#[derive(Clone, Debug)]
pub struct Seats {
    /// Availability zone of the entry.
    pub zone: Arc<str>,
    /// Address at which it answers requests that other entries pass on.
    pub address: SocketAddr,
    /// Address at which it carries out orders of a leader.
    pub executor: SocketAddr,
    /// Number of seats, and durations that decide who holds them.
    pub timing: sassafrascrank_roster::Timing,
}

impl Settings {
    /// Returns the initial state of the control thread.
    pub(super) fn control(&self, identity: Identity, now: Time) -> Control {
        let roster = self.seats.as_ref().map(|seats| {
            let own = Candidate {
                name: Arc::clone(&identity.name),
                incarnation: identity.incarnation,
                address: seats.address,
                executor: seats.executor,
                capacity: identity.capacity,
                leads: false,
            };
            let number = identity.incarnation ^ hash::text(&identity.name);
            let zone = Arc::clone(&seats.zone);
            Roster::new(seats.timing, zone, own, hash::mix(number))
        });
        let control = Control::new(identity, self.lead, self.rules, self.retention, now)
            .with_credential_limit(self.credential_limit)
            .with_job_limit(self.job_bytes);
        match roster {
            Some(roster) => control.with_roster(roster),
            None => control,
        }
    }

    /// Returns the identity of the process, which starts at the wall-clock time `wall`.
    pub(super) fn identity(&self, wall: Time) -> Identity {
        Identity {
            name: Arc::clone(&self.name),
            incarnation: wall.as_micros(),
            capacity: self.capacity,
        }
    }
}
