//! Availability of a pool by failure domain.

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
    /// Those of them that were deliberately taken out of service.
    pub reserved: usize,
    /// Those of them that failed and are not reserved.
    pub failed: usize,
}

/// Counts the hosts of a pool by zone and rack; hosts whose location is unknown are left out.
pub fn domains(
    inventory: &Inventory,
    pool: pool::Key,
    reservation: &Reservation,
) -> BTreeMap<(availability_zone::Key, rack::Key), Domain> {
    let mut domains = BTreeMap::new();
    for (_, host) in inventory.hosts(pool) {
        let Some(location) = host.location else {
            continue;
        };
        let domain: &mut Domain = domains.entry(location).or_default();
        domain.assigned += 1;
        if reservation.hosts.contains_key(&host.name) {
            domain.reserved += 1;
        } else if is_failed(host, reservation) {
            domain.failed += 1;
        }
    }
    domains
}

/// Returns the zone that the reserved hosts of the pool belong to, or `None` if there are none.
///
/// Hosts in several racks of one zone may be out of service together: the pool must survive the loss of a whole zone,
/// and a rack has too few hosts of one pool to use up the budget.
pub fn reserved_zone(
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
