//! Availability of one pool.

use super::domain::worked_zone;
use crate::inventory::{
    Host,
    Inventory, //
};
use core::fmt;
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::Reservation;

/// Hosts of one pool by availability.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    /// Hosts assigned to the pool.
    pub assigned: usize,
    /// Hosts that must be available, rounded up to whole hosts.
    pub needed: usize,
    /// Hosts that are voluntarily out of service.
    pub reserved: usize,
    /// Hosts that failed on their own and are not reserved.
    pub failed: usize,
}

/// Why a host must stay in service now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// One host less would take the pool below its budget.
    Budget(Budget),
    /// Hosts of another zone of the pool are out of service.
    Zone(availability_zone::Key),
    /// The host fails, so that it is not the planner's to drain.
    Failed,
    /// The platform has not said where the host stands.
    ZoneUnknown,
}

impl Budget {
    /// Counts the hosts of `pool` as `reservation` leaves them.
    pub fn new(inventory: &Inventory, pool: pool::Key, reservation: &Reservation) -> Self {
        let mut budget = Self {
            assigned: 0,
            needed: 0,
            reserved: 0,
            failed: 0,
        };
        for (_, host) in inventory.hosts(pool) {
            budget.assigned += 1;
            if reservation.hosts.contains_key(&host.name) {
                budget.reserved += 1;
            } else if is_failed(host, reservation) {
                budget.failed += 1;
            }
        }
        let policy = inventory.pool(pool).and_then(|pool| pool.policy.as_ref());
        let percent = policy.map_or(100, |policy| policy.availability_percent);
        budget.needed = budget.count_needed(percent);
        budget
    }

    /// Returns the hosts that serve.
    pub fn available(&self) -> usize {
        self.assigned - self.reserved - self.failed
    }

    /// Returns how many more hosts may leave service.
    pub fn room(&self) -> usize {
        self.available().saturating_sub(self.needed)
    }

    /// Returns whether enough hosts serve.
    pub fn is_met(&self) -> bool {
        self.available() >= self.needed
    }

    fn count_needed(&self, percent: u32) -> usize {
        let percent = usize::try_from(percent).unwrap_or(100).min(100);
        (self.assigned * percent).div_ceil(100)
    }
}

impl fmt::Display for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} hosts available ({} voluntarily out, {} failed), {} needed",
            self.available(),
            self.assigned,
            self.reserved,
            self.failed,
            self.needed
        )
    }
}

/// Returns whether the host failed on its own, by a record or by the platform's report.
pub fn is_failed(host: &Host, reservation: &Reservation) -> bool {
    host.failed_since().is_some() || reservation.failed.contains_key(&host.name)
}

/// Checks whether `host` may leave service, given the absences in `reservation`.
///
/// # Errors
///
/// Names the budget or the zone that forbids it.
pub fn check(
    inventory: &Inventory,
    pool: pool::Key,
    reservation: &Reservation,
    host: &Host,
) -> Result<(), Refusal> {
    if is_failed(host, reservation) {
        return Err(Refusal::Failed);
    }
    let Some((zone, _)) = host.location else {
        return Err(Refusal::ZoneUnknown);
    };
    if let Some(worked) = worked_zone(inventory, pool, reservation)
        && worked != zone
    {
        return Err(Refusal::Zone(worked));
    }
    let budget = Budget::new(inventory, pool, reservation);
    if budget.room() == 0 {
        return Err(Refusal::Budget(budget));
    }
    Ok(())
}
