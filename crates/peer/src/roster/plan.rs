//! Interval of the reports to other zones, and number of pools in a report.

use super::limit::{
    BYTES_PER_SECOND_BUDGET,
    REPORT_INTERVAL, //
};
use crate::wire::DEMAND_LIMIT;
use core::time::Duration;

/// Bytes of one exchange without demand: the heads of an HTTP request and its response, and two reports.
const EXCHANGE_BYTES: u64 = 176;
/// Bytes of the demand for one pool, sent and received.
const ITEM_BYTES: u64 = 12;
/// Fewest pools in a report to the own zone: two changes and a repeated value. With one change, a burst takes longer
/// than 3 s to reach the peers.
const OWN_ITEMS: usize = 3;
/// Pools in a report to another zone.
const OTHER_ITEMS: usize = 4;
/// Longest time between two reports to another zone; servers close connections that are idle for longer.
const INTERVAL_LIMIT: Duration = Duration::from_secs(20);

/// Division of the traffic budget between exchanges with the own zone, with other zones, and demand.
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
    /// Makes the plan for the given numbers of peers.
    ///
    /// Of the bytes that the exchanges with the own zone leave, half go to other zones, and half to the demand in the
    /// reports to the own zone.
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
