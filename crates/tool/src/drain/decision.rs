//! Decides whether a host may be taken out of service, and builds the record for it.

use crate::fleet::describe_step;
use core::fmt;
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::{
    Absence,
    Progress,
    Reservation,
    Step,
    Subject, //
};
use sassafrascrank_fleet::{
    Budget,
    Inventory,
    Proposal,
    budget::{
        self,
        Refusal, //
    },
    inventory::{
        Host,
        Pool, //
    },
    wave::Action, //
};
use std::sync::Arc;

/// Why a host can't be taken out of service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The host is assigned to no pool.
    Unassigned,
    /// It already belongs to the target pool.
    SamePool,
    /// It is out of service already.
    Absent(Step),
    /// The wave is stopped, so that the planner would withdraw the drain.
    Stopped,
    /// The availability budget, or the zone or condition of the host, forbids it.
    Refused {
        /// The pool.
        pool: Name,
        /// Its availability and budget.
        budget: Budget,
        /// What forbids it.
        refusal: Refusal,
        /// Other zone with hosts out of service, if that is the reason.
        zone: Option<Name>,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (pool, budget, refusal, zone) = match self {
            Self::Unassigned => return write!(f, "no pool has the host"),
            Self::SamePool => return write!(f, "the host belongs to that pool already"),
            Self::Absent(step) => return write!(f, "the host is {} already", describe_step(*step)),
            Self::Stopped => {
                return write!(
                    f,
                    "the wave is stopped and takes back drains; resume it first, see why wave"
                );
            }
            Self::Refused {
                pool,
                budget,
                refusal,
                zone,
            } => (pool, budget, refusal, zone),
        };
        match refusal {
            Refusal::Budget(_) => write!(f, "the budget is used up")?,
            Refusal::Zone(_) => {
                let zone = zone.as_ref().map_or("another", Name::as_str);
                write!(f, "hosts of zone {zone} are out of service")?;
            }
            Refusal::Failed => write!(f, "the host failed, is leaving or is not listed")?,
            Refusal::ZoneUnknown => write!(f, "the platform does not say where the host stands")?,
        }
        write!(f, "; pool {pool}: {budget}")
    }
}

/// Returns the record by which `host` begins to drain, in order to move to `target` if there is one.
///
/// # Errors
///
/// Returns the reason if the host can't be taken out of service.
pub fn decide(
    inventory: &Inventory,
    host: &Host,
    target: Option<&Name>,
    now: Time,
) -> Result<Proposal, Reason> {
    let key = host.pool.ok_or(Reason::Unassigned)?;
    let pool = inventory.pool(key).ok_or(Reason::Unassigned)?;
    if target == Some(&pool.name) {
        return Err(Reason::SamePool);
    }
    if let Some(absence) = pool.reservation.hosts.get(&host.name) {
        return Err(Reason::Absent(absence.step));
    }
    // A stopped wave withdraws drains for maintenance only; moves continue.
    if target.is_none() && is_stopped(inventory) {
        return Err(Reason::Stopped);
    }
    let checked = budget::check(inventory, key, &pool.reservation, host);
    checked.map_err(|refusal| Reason::Refused {
        pool: pool.name.clone(),
        budget: Budget::new(inventory, key, &pool.reservation),
        zone: match refusal {
            Refusal::Zone(zone) => inventory.zone(zone).cloned(),
            _ => None,
        },
        refusal,
    })?;
    Ok(propose(inventory, pool, &host.name, target, now))
}

fn is_stopped(inventory: &Inventory) -> bool {
    let mut pools = inventory.pools();
    pools.any(|(_, pool)| matches!(pool.reservation.wave.progress, Progress::Stopped(_)))
}

fn propose(
    inventory: &Inventory,
    pool: &Pool,
    host: &Name,
    target: Option<&Name>,
    now: Time,
) -> Proposal {
    let mut reservation = Reservation::clone(&pool.reservation);
    let absence = Absence {
        step: Step::Draining,
        // Times in records are whole milliseconds.
        since: Time::from_millis(now.as_millis()),
        wave: reservation.wave.number,
    };
    reservation.hosts.insert(host.clone(), absence);
    let action = match target {
        Some(target) => {
            reservation.moves.insert(host.clone(), target.clone());
            Action::Leave(host.clone(), target.clone())
        }
        None => Action::Drain(host.clone()),
    };
    Proposal {
        subject: Subject::Reservation(pool.name.clone()),
        basis: inventory.basis(pool),
        value: Arc::new(reservation),
        join: None,
        actions: vec![action],
    }
}
