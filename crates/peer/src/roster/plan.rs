//! How often other zones get a report, and how many pools a report carries.

use super::limit::{
    BYTES_PER_SECOND_BUDGET,
    REPORT_INTERVAL, //
};
use crate::wire::DEMAND_LIMIT;
use core::time::Duration;

/// Bytes of one exchange without demand: two HTTP heads and two reports.
const EXCHANGE_BYTES: u64 = 176;
/// Bytes of one pool in both directions.
const ITEM_BYTES: u64 = 12;
/// Fewest pools in a report to the own zone: two changes and a repeat. With one change, a burst takes longer than 3 s.
const OWN_ITEMS: usize = 3;
/// Pools in a report to another zone.
const OTHER_ITEMS: usize = 4;
/// Longest time between two reports to another zone; servers close connections that are idle for longer.
const INTERVAL_LIMIT: Duration = Duration::from_secs(20);

/// Division of the bytes between own zone, other zones and demand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Pools in a report to an entry of the own zone.
    pub own_zone_pools: usize,
    /// Pools in a report to an entry of another zone.
    pub other_zone_pools: usize,
    /// Time between two exchanges with an entry of another zone.
    pub other_zone_interval: Duration,
}

impl Plan {
    /// Plans for the given numbers of peers: half of what the own zone's exchanges leave goes to other zones, and half
    /// to the own zone's demand.
    pub fn new(own: usize, others: usize) -> Self {
        let (own, others) = (own as u64, others as u64);
        let rest = BYTES_PER_SECOND_BUDGET.saturating_sub(own * EXCHANGE_BYTES);
        let half = (rest / 2).max(1);
        let bytes = others * (EXCHANGE_BYTES + ITEM_BYTES * OTHER_ITEMS as u64);
        let interval = Duration::from_millis(bytes.saturating_mul(1_000) / half);
        let items = half / (own.max(1) * ITEM_BYTES);
        Self {
            own_zone_pools: usize::try_from(items)
                .unwrap_or(OWN_ITEMS)
                .clamp(OWN_ITEMS, DEMAND_LIMIT),
            other_zone_pools: OTHER_ITEMS,
            other_zone_interval: interval.clamp(REPORT_INTERVAL, INTERVAL_LIMIT),
        }
    }
}
