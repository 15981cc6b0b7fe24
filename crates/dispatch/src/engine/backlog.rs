//! Pending requests of one customer in one pool, and the slots that its contract covers for them.

use sassafrascrank_base::{
    key::class::CLASS_LIMIT,
    prelude::*, //
};
use sassafrascrank_queue::Class;
use sassafrascrank_route::partition::MILLISLOTS_PER_SLOT;

/// Slots of a pool of which contracts have a share.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Capacity {
    /// Slots in the home availability zone.
    pub(super) home: u32,
    /// Slots in all availability zones.
    pub(super) all: u32,
}

/// Slots that contracts cover, in thousandths of a slot.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Coverage {
    /// Slots for the pending requests.
    pub(super) used: u64,
    /// Slots for further requests of customers that have pending requests.
    pub(super) room: u64,
}

/// Requests of each class that are queued, running or waiting for a retry, and the contracted share.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    pending: [u32; CLASS_LIMIT],
    class_shares: [u32; CLASS_LIMIT],
    share_percent: u32,
    spill: bool,
}

impl Backlog {
    /// Sets the share of the pool in percent, the right to use other availability zones, and the shares of classes.
    pub(super) fn set_share(&mut self, percent: u32, spill: bool, classes: &[Class]) {
        self.share_percent = percent;
        self.spill = spill;
        self.class_shares = [0; CLASS_LIMIT];
        for (share, class) in self.class_shares.iter_mut().zip(classes) {
            *share = class.share;
        }
    }

    /// Adds `change` to the number of pending requests of a class.
    pub(super) fn adjust_pending(&mut self, class: class::Index, change: i32) {
        if let Some(pending) = self.pending.get_mut(usize::from(class.0)) {
            *pending = pending.saturating_add_signed(change);
        }
    }

    /// Returns whether the customer has neither a share nor pending requests.
    pub(super) fn is_empty(&self) -> bool {
        self.share_percent == 0 && self.pending == [0; CLASS_LIMIT]
    }

    /// Returns the slots that the contract covers for the pending requests.
    ///
    /// If the requests exceed the contracted share, each class counts up to its part of that share, divided among
    /// the classes with pending requests. A flood of one class thus takes no slots from another class of the same
    /// customer at another entry.
    pub(super) fn cover(&self, capacity: Capacity) -> Coverage {
        let slots = if self.spill {
            capacity.all
        } else {
            capacity.home
        };
        let limit = u64::from(slots) * u64::from(self.share_percent) * MILLISLOTS_PER_SLOT / 100;
        let demand = |pending: &u32| u64::from(*pending) * MILLISLOTS_PER_SLOT;
        let total_demand: u64 = self.pending.iter().map(demand).sum();
        if total_demand <= limit {
            let room = if total_demand > 0 {
                limit - total_demand
            } else {
                0
            };
            return Coverage {
                used: total_demand,
                room,
            };
        }
        let classes = self.pending.iter().zip(&self.class_shares);
        let active = classes.clone().filter(|(pending, _)| **pending > 0);
        let total_share: u64 = active.map(|(_, share)| u64::from(*share)).sum();
        let class_limit = |share: &u32| limit * u64::from(*share) / total_share.max(1);
        let used = classes
            .map(|(pending, share)| demand(pending).min(class_limit(share)))
            .sum();
        Coverage { used, room: 0 }
    }
}
