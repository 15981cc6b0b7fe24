//! Explanations as JSON.

use crate::fleet::{
    Availability,
    describe_progress,
    describe_step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::Maintenance;
use sassafrascrank_fleet::{
    budget::Refusal,
    explain::{
        Explanation,
        State,
        Summary, //
    },
    wave::{
        Forecast,
        LateCause, //
    },
};
use serde::Serialize;

/// Explanation of a pool or of one of its hosts.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Answer {
    /// The pool.
    pub pool: String,
    /// Offset of the pool's policy.
    pub policy_offset: u64,
    /// Offset of the pool's reservation, 0 if there is none.
    pub reservation_offset: u64,
    /// Wave that the pool takes part in, 0 before the first one.
    pub wave: u64,
    /// Whether the pool's record says that the wave is running, paused or stopped.
    pub progress: &'static str,
    /// Availability of the pool.
    pub figures: Availability,
    /// The host, if it was asked for.
    pub host: Option<Host>,
}

/// State of a host in its pool.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Host {
    /// The host.
    pub host: String,
    /// Offset of its assignment.
    pub assignment_offset: u64,
    /// Step of its absence, result of its maintenance, reason why it stays in service, or `ready`.
    pub state: &'static str,
    /// Other zone with hosts out of service, if that keeps the host in service.
    pub zone: Option<String>,
    /// Pool that the host moves to.
    pub target: Option<String>,
}

/// Explanation of the wave.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Wave {
    /// Number of the wave that is due.
    pub wave: u64,
    /// Whether it is running, paused or stopped; it starts drains only while it is running.
    pub progress: &'static str,
    /// Pool whose reservation record pauses or stops it, and the offset of that record.
    pub halted_by: Option<(String, u64)>,
    /// Hosts that are done.
    pub done: usize,
    /// All hosts of all pools.
    pub hosts: usize,
    /// Returned hosts that failed after their return to service.
    pub returned_failures: u64,
    /// Seconds in service since their return, summed over the returned hosts.
    pub returned_seconds: u64,
    /// Hosts not yet maintained that failed since the wave began or was last resumed.
    pub other_failures: u64,
    /// Seconds since the wave began or was last resumed, summed over the hosts not yet maintained.
    pub other_seconds: u64,
    /// Pools that don't finish in time.
    pub late: Vec<Late>,
}

/// A pool that does not finish in time.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Late {
    /// The pool.
    pub pool: String,
    /// Offset of its reservation, 0 if there is none.
    pub reservation_offset: u64,
    /// Hosts not yet done.
    pub pending: usize,
    /// Why it does not finish in time.
    pub cause: &'static str,
    /// Host with pinned work, if that is the cause.
    pub host: Option<String>,
    /// Seconds that the remaining hosts need; `None` if they never finish.
    pub needs_s: Option<u64>,
    /// Seconds until the period of the wave ends.
    pub left_s: u64,
    /// Availability of the pool.
    pub figures: Availability,
}

impl From<&Explanation> for Answer {
    fn from(explanation: &Explanation) -> Self {
        let text = |name: &Option<Name>| name.as_ref().map(Name::to_string);
        let host = explanation.host.as_ref();
        Self {
            pool: explanation.pool.to_string(),
            policy_offset: explanation.policy_offset,
            reservation_offset: explanation.reservation_offset,
            wave: explanation.wave.number,
            progress: describe_progress(explanation.wave.progress),
            figures: Availability::from(&explanation.budget),
            host: host.map(|(name, offset, state)| Host {
                host: name.to_string(),
                assignment_offset: *offset,
                state: describe(*state),
                zone: text(&explanation.zone),
                target: text(&explanation.target),
            }),
        }
    }
}

fn describe(state: State) -> &'static str {
    match state {
        State::Absent(absence) => describe_step(absence.step),
        State::Finished(finish) => match finish.result {
            Maintenance::Done => "done",
            Maintenance::Broken => "broken",
            Maintenance::Skipped => "skipped",
        },
        State::Blocked(Refusal::Budget(_)) => "the budget is used up",
        State::Blocked(Refusal::Zone(_)) => "another zone is worked on",
        State::Blocked(Refusal::Failed) => "failed",
        State::Blocked(Refusal::ZoneUnknown) => "its zone is unknown",
        State::Halted(_) => "the wave is halted",
        State::Ready => "ready",
    }
}

impl From<&Summary> for Wave {
    fn from(summary: &Summary) -> Self {
        let halted_by = summary.halted_by.as_ref();
        Self {
            wave: summary.number,
            progress: describe_progress(summary.progress),
            halted_by: halted_by.map(|(pool, offset)| (pool.to_string(), *offset)),
            done: summary.done,
            hosts: summary.hosts,
            returned_failures: summary.evidence.returned_failures,
            returned_seconds: summary.evidence.returned_seconds,
            other_failures: summary.evidence.other_failures,
            other_seconds: summary.evidence.other_seconds,
            late: summary.late.iter().map(Late::from).collect(),
        }
    }
}

impl From<&Forecast> for Late {
    fn from(forecast: &Forecast) -> Self {
        let (cause, host) = match &forecast.cause {
            LateCause::NoRoom => ("the budget lets no host leave", None),
            LateCause::Slow => ("the budget lets too few hosts leave at once", None),
            LateCause::Pinned(host) => ("pinned work", Some(host.to_string())),
            LateCause::Halted(progress) => (describe_progress(*progress), None),
        };
        Self {
            pool: forecast.pool.to_string(),
            reservation_offset: forecast.offset,
            pending: forecast.pending,
            cause,
            host,
            needs_s: forecast.needs.map(|needs| needs.as_secs()),
            left_s: forecast.left.as_secs(),
            figures: Availability::from(&forecast.budget),
        }
    }
}
