//! Hosts of a pool that are out of service, and the maintenance wave that the pool takes part in.

use sassafrascrank_base::prelude::*;
use std::collections::BTreeMap;

/// Hosts of one pool that are out of service. Every maintenance step or move of a host in the pool changes this value.
///
/// Failures are recorded as well, so that a decision made without knowing a recorded failure has a stale basis and is
/// rejected.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reservation {
    /// State of the maintenance wave in this pool.
    pub wave: Wave,
    /// Hosts that were deliberately taken out of service; each is assigned to this pool.
    pub hosts: BTreeMap<Name, Absence>,
    /// Those of `hosts` that move to another pool, with the new pool; the others are maintained.
    pub moves: BTreeMap<Name, Name>,
    /// Hosts that failed, with the start of the failure.
    pub failed: BTreeMap<Name, Time>,
    /// Hosts that finished this wave.
    pub finished: BTreeMap<Name, Finish>,
}

/// State of a maintenance wave as recorded by one pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Wave {
    /// Number of the wave, counted in periods since the Unix epoch; 0 before the first wave.
    pub number: u64,
    /// When the pool started the wave.
    pub started: Time,
    /// When `progress` last changed. After a resumption, failures from before this time do not stop the wave again.
    pub since: Time,
    /// Whether new drains start.
    pub progress: Progress,
}

/// Whether a wave starts new drains.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Progress {
    /// New drains start.
    #[default]
    Running,
    /// An operator paused the wave. Hosts that are out of service still return.
    Paused,
    /// The wave stopped automatically and waits for an operator to resume it.
    Stopped(Cause),
}

/// Why a wave stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Hosts that returned to service fail more often than hosts not yet maintained.
    Failures,
    /// All hosts of a rack failed.
    Rack,
}

/// State of a host that was deliberately taken out of service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Absence {
    /// Current step.
    pub step: Step,
    /// When the host reached that step.
    pub since: Time,
    /// Number of the wave in which the step was recorded.
    pub wave: u64,
}

/// Step of a deliberate absence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The host receives no new work and completes its current work.
    Draining,
    /// The host is drained and may be rebooted or moved.
    Out,
    /// The host has rebooted and must stay healthy for the probation time.
    Returning,
}

/// How a host finished a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Finish {
    /// When the host returned to service, was given up or was skipped.
    pub at: Time,
    /// Result for the host.
    pub result: Maintenance,
}

/// Result of a wave for one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Maintenance {
    /// The host was rebooted and is healthy.
    Done,
    /// The host did not become healthy in time after it went out of service.
    Broken,
    /// An operator excluded the host from the wave.
    Skipped,
}
