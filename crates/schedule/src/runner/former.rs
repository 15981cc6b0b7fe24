//! What is kept of an incarnation of a runner that has ended or was removed.

use super::Runner;
use crate::Rules;
use sassafrascrank_base::{
    epoch::MAX_GENERATION,
    prelude::*, //
};

/// What is kept of an incarnation of a runner that has ended or was removed, for the next one that is known by its name.
#[derive(Clone, Copy, Debug)]
pub struct Former {
    /// Start of the incarnation, in Unix milliseconds.
    incarnation: u64,
    /// Generation of the incarnation.
    pub generation: u16,
    /// Whether it or an earlier incarnation was asked for a lease.
    pub leased: bool,
    /// Whether it may carry out orders for an earlier incarnation that ask for a lease.
    accepts_earlier_orders: bool,
    /// Latest time at which a lease can end that a later incarnation has granted to orders for this one; in the past if there
    /// is none.
    pub lease_until: Time,
    /// When it was removed.
    pub removed: Time,
}

impl Former {
    /// Returns what the next incarnation has to know of a runner.
    pub fn new(runner: &Runner, rules: &Rules, now: Time) -> Self {
        let own = rules.longest_lease_expiry(runner.lease_ordered_at);
        Self {
            incarnation: runner.incarnation,
            generation: runner.generation,
            leased: runner.leased,
            accepts_earlier_orders: runner.accepts_earlier_orders,
            lease_until: own.max(runner.earlier_lease_until),
            removed: now,
        }
    }

    /// Returns what is known of an incarnation that was restarted in the time of a former leader.
    pub const fn of_former_leader(lease_until: Time, now: Time) -> Self {
        Self {
            incarnation: 0,
            generation: 0,
            leased: true,
            accepts_earlier_orders: true,
            lease_until,
            removed: now,
        }
    }

    /// Returns the generation of the next incarnation, which may be the same one if it was only removed.
    pub fn next_generation(self) -> u16 {
        (self.generation + 1).min(MAX_GENERATION)
    }

    /// Returns whether the next incarnation, which began then, may carry out orders for an earlier one that ask for a lease.
    pub const fn next_accepts_earlier_orders(self, incarnation: u64) -> bool {
        self.accepts_earlier_orders || (self.leased && incarnation > self.incarnation)
    }
}
