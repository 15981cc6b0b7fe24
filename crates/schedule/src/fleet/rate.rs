//! The rate of orders to hosts that the host service accepts, and which orders use it first.

use sassafrascrank_base::prelude::*;
use sassafrascrank_retry::Bucket;

/// Percentage of the host service's rate at which orders go on. Together with [`BURST_PERCENT`] it keeps the orders of each
/// second within the rate.
const RATE_PERCENT: u32 = 50;
/// Percentage of the orders of a second that may be sent at once. Demand moves from one pool to another within moments,
/// and many hosts with it.
const BURST_PERCENT: u32 = 45;
/// Smallest number of hosts whose orders may be outstanding at very low rates.
const MIN_OUTSTANDING: u32 = 4;

/// What an order to a host is worth, from the most urgent on.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// The host is needed for work that waits, or by a wave that would be late.
    Now,
    /// The host will be needed, or its wave has time left.
    Soon,
    /// The host is switched off to save its costs.
    Saving,
}

impl Urgency {
    /// Returns the percentage of the outstanding orders that orders of this urgency may use.
    const fn share_percent(self) -> u32 {
        match self {
            Self::Now => 100,
            Self::Soon => 75,
            Self::Saving => 40,
        }
    }
}

/// Limits the orders to hosts to the rate that the host service accepts.
#[derive(Clone, Debug)]
pub struct Rate {
    /// Orders a second that the host service accepts; `None` without a limit.
    per_second: Option<u32>,
    bucket: Bucket,
}

impl Rate {
    /// Creates a limit of `per_second` orders, or none.
    pub fn new(per_second: Option<u32>, now: Time) -> Self {
        let rate = per_second.unwrap_or_default();
        let part = |percent: u32| (rate.saturating_mul(percent) / 100).max(1);
        Self {
            per_second,
            bucket: Bucket::new(now, part(RATE_PERCENT), part(BURST_PERCENT)),
        }
    }

    /// Tells whether an order may be sent now, and counts it if so.
    pub fn take(&mut self, now: Time) -> bool {
        self.per_second.is_none() || self.bucket.take(now).is_ok()
    }

    /// Tells whether another host may get an order while the orders of `outstanding` hosts are not answered.
    pub fn admits(&self, urgency: Urgency, outstanding: usize) -> bool {
        let Some(rate) = self.per_second else {
            return true;
        };
        // These are the orders of two seconds at most, so that a host is not closed long before its order is sent.
        let limit = rate.max(MIN_OUTSTANDING);
        let share = (limit * urgency.share_percent() / 100).max(1);
        outstanding < share as usize
    }
}
