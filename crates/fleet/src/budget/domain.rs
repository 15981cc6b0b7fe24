//! Availability of the failure domains of a pool.

use super::is_failed;
use crate::inventory::{
    Inventory,
    rack, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::model::Reservation;
use std::collections::BTreeMap;

/// Hosts of one pool in one rack.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Domain {
    /// Hosts of the pool in the rack.
    pub assigned: usize,
    /// Of these, hosts that are voluntarily out of service.
    pub reserved: usize,
    /// Of these, hosts that failed on their own and are not reserved.
    pub failed: usize,
}

/// Counts the hosts of a pool by zone and rack.
pub fn domains(
    inventory: &Inventory,
    pool: pool::Key,
    reservation: &Reservation,
) -> BTreeMap<(availability_zone::Key, rack::Key), Domain> {
    let mut domains = BTreeMap::new();
    for (_, host) in inventory.hosts(pool) {
        let Some(place) = host.location else {
            continue;
        };
        let domain: &mut Domain = domains.entry(place).or_default();
        domain.assigned += 1;
        if reservation.hosts.contains_key(&host.name) {
            domain.reserved += 1;
        } else if is_failed(host, reservation) {
            domain.failed += 1;
        }
    }
    domains
}

/// Returns the zone in which hosts of the pool are voluntarily out of service.
///
/// Racks of one zone are worked on together: the zone is the domain whose loss the other hosts must survive,
/// and a rack has too few hosts of one pool to fill the budget.
pub fn worked_zone(
    inventory: &Inventory,
    pool: pool::Key,
    reservation: &Reservation,
) -> Option<availability_zone::Key> {
    if reservation.hosts.is_empty() {
        return None;
    }
    let mut hosts = inventory.hosts(pool);
    let reserved = hosts.find(|(_, host)| reservation.hosts.contains_key(&host.name));
    reserved
        .and_then(|(_, host)| host.location)
        .map(|(zone, _)| zone)
}
