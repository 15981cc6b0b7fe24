//! Availability of a pool as JSON.

use sassafrascrank_fleet::Budget;
use serde::Serialize;

/// Hosts of one pool by availability.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Availability {
    /// Hosts assigned to the pool.
    pub hosts: usize,
    /// Hosts that serve.
    pub available: usize,
    /// Hosts that are voluntarily out of service.
    pub out: usize,
    /// Hosts that failed and are not reserved.
    pub failed: usize,
    /// Fewest hosts that must be available.
    pub budget: usize,
    /// Hosts that may still be taken out of service.
    pub room: usize,
}

impl From<&Budget> for Availability {
    fn from(budget: &Budget) -> Self {
        Self {
            hosts: budget.assigned,
            available: budget.available(),
            out: budget.reserved,
            failed: budget.failed,
            budget: budget.needed,
            room: budget.room(),
        }
    }
}
