//! Availability budget of one pool.

use super::domain::reserved_zone;
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
    /// Hosts that were deliberately taken out of service, for maintenance or for a move.
    pub reserved: usize,
    /// Hosts that failed and are not reserved.
    pub failed: usize,
}

/// Reason for which a host must not be taken out of service now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Removing the host would take the pool below its budget.
    Budget(Budget),
    /// Hosts of another zone of the pool are out of service.
    Zone(availability_zone::Key),
    /// The host has failed, so there is no service to drain.
    Failed,
    /// The platform has not reported the zone of the host.
    ZoneUnknown,
}

impl Budget {
    /// Counts the hosts of `pool`, given the absences in `reservation`.
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

    /// Returns the number of hosts that are in service.
    pub fn available(&self) -> usize {
        self.assigned - self.reserved - self.failed
    }

    /// Returns how many more hosts may be taken out of service.
    pub fn room(&self) -> usize {
        self.available().saturating_sub(self.needed)
    }

    /// Returns whether enough hosts are in service.
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

/// Returns whether the host has failed, according to the reservation record or the platform's report.
pub fn is_failed(host: &Host, reservation: &Reservation) -> bool {
    host.failed_since().is_some() || reservation.failed.contains_key(&host.name)
}

/// Checks whether `host` may be taken out of service, given the absences in `reservation`.
///
/// # Errors
///
/// Returns the reason if the host must stay in service.
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
    if let Some(reserved) = reserved_zone(inventory, pool, reservation)
        && reserved != zone
    {
        return Err(Refusal::Zone(reserved));
    }
    let budget = Budget::new(inventory, pool, reservation);
    if budget.room() == 0 {
        return Err(Refusal::Budget(budget));
    }
    Ok(())
}
