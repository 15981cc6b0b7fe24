//! Explanations with the records and figures that decided.

use crate::{
    budget::{
        self,
        Budget,
        Refusal, //
    },
    inventory::Inventory,
    wave, //
};
use core::fmt;
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Absence,
    Finish,
    Progress,
    Wave, //
};

/// Where a host stands in its pool's wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It is voluntarily out of service.
    Absent(Absence),
    /// It is done.
    Finished(Finish),
    /// It must stay in service now.
    Blocked(Refusal),
    /// The wave starts no drains.
    Halted(Progress),
    /// It may leave service now.
    Ready,
}

/// Records and figures behind the state of a host, or of a pool if `host` is `None`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explanation {
    /// The pool.
    pub pool: Name,
    /// Offset of the pool's policy.
    pub policy_offset: u64,
    /// Offset of the pool's reservation, 0 if there is none.
    pub reservation_offset: u64,
    /// The wave as the pool records it.
    pub wave: Wave,
    /// Availability of the pool.
    pub budget: Budget,
    /// The host, the offset of its assignment and its state.
    pub host: Option<(Name, u64, State)>,
    /// Zone that forbids the host to leave, if one does.
    pub zone: Option<Name>,
    /// Pool that the host moves to, if it moves.
    pub target: Option<Name>,
}

/// Explains the state of a pool; `None` if the key is stale.
pub fn explain_pool(inventory: &Inventory, key: pool::Key) -> Option<Explanation> {
    let pool = inventory.pool(key)?;
    Some(Explanation {
        pool: pool.name.clone(),
        policy_offset: pool.offset,
        reservation_offset: pool.basis.unwrap_or(0),
        wave: pool.reservation.wave,
        budget: Budget::new(inventory, key, &pool.reservation),
        host: None,
        zone: None,
        target: None,
    })
}

/// Explains the state of a host; `None` if the key is stale or the host has no pool.
pub fn explain_host(inventory: &Inventory, key: host::Key) -> Option<Explanation> {
    let host = inventory.host(key)?;
    let pool_key = host.pool?;
    let pool = inventory.pool(pool_key)?;
    let reservation = &pool.reservation;
    let absence = reservation.hosts.get(&host.name);
    let finish = reservation.finished.get(&host.name);
    let state = match (absence, finish) {
        (Some(&absence), _) => State::Absent(absence),
        (None, Some(&finish)) => State::Finished(finish),
        (None, None) => match find_halt(inventory) {
            Some(progress) => State::Halted(progress),
            None => match budget::check(inventory, pool_key, reservation, host) {
                Ok(()) => State::Ready,
                Err(refusal) => State::Blocked(refusal),
            },
        },
    };
    let mut explanation = explain_pool(inventory, pool_key)?;
    if let State::Blocked(Refusal::Zone(zone)) = state {
        explanation.zone = inventory.zone(zone).cloned();
    }
    explanation.target = reservation.moves.get(&host.name).cloned();
    explanation.host = Some((host.name.clone(), host.offset, state));
    Some(explanation)
}

fn find_halt(inventory: &Inventory) -> Option<Progress> {
    if wave::is_running(inventory) {
        return None;
    }
    let mut progresses = inventory
        .pools()
        .map(|(_, pool)| pool.reservation.wave.progress);
    progresses.find(|&progress| progress != Progress::Running)
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((host, offset, state)) = &self.host {
            write!(f, "host {host} (assignment at offset {offset}): ")?;
            match state {
                State::Absent(absence) => match &self.target {
                    Some(target) => write!(f, "{:?}, moves to {target}; ", absence.step)?,
                    None => write!(f, "{:?} in wave {}; ", absence.step, absence.wave)?,
                },
                State::Finished(finish) => write!(f, "finished ({:?}); ", finish.result)?,
                State::Blocked(Refusal::Budget(_)) => {
                    write!(f, "stays in service, the budget is used up; ")?;
                }
                State::Blocked(Refusal::Zone(_)) => {
                    let zone = self.zone.as_ref().map_or("unknown", Name::as_str);
                    write!(f, "stays in service while zone {zone} is worked on; ")?;
                }
                State::Blocked(Refusal::Failed) => write!(f, "failed on its own; ")?,
                State::Blocked(Refusal::ZoneUnknown) => write!(f, "its zone is unknown; ")?,
                State::Halted(progress) => write!(f, "waits, the wave is halted ({progress:?}); ")?,
                State::Ready => write!(f, "may leave service now; ")?,
            }
        }
        write!(
            f,
            "pool {} (policy at offset {}, reservation at offset {}): wave {} {:?}, {}",
            self.pool,
            self.policy_offset,
            self.reservation_offset,
            self.wave.number,
            self.wave.progress,
            self.budget
        )
    }
}
