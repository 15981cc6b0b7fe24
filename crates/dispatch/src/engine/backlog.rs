//! Requests of one customer in one pool, and how many slots its contract covers for them.

use sassafrascrank_base::{
    key::class::CLASS_LIMIT,
    prelude::*, //
};
use sassafrascrank_queue::Class;
use sassafrascrank_route::partition::MILLISLOTS_PER_SLOT;

/// Slots by which shares of a pool are counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Size {
    /// Slots in the home availability zone.
    pub(super) home: u32,
    /// Slots in all availability zones.
    pub(super) all: u32,
}

/// What contracts cover, in thousandths of a slot.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cover {
    /// Slots for the requests that are there.
    pub(super) used: u64,
    /// Slots for further requests of the customers that have some.
    pub(super) room: u64,
}

/// Requests that are queued, running or waiting for a retry, and the contracted share.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    pending: [u32; CLASS_LIMIT],
    shares: [u32; CLASS_LIMIT],
    percent: u32,
    spill: bool,
}

impl Backlog {
    /// Takes over the contract.
    pub(super) fn set_share(&mut self, percent: u32, spill: bool, classes: &[Class]) {
        self.percent = percent;
        self.spill = spill;
        self.shares = [0; CLASS_LIMIT];
        for (share, class) in self.shares.iter_mut().zip(classes) {
            *share = class.share;
        }
    }

    /// Counts requests of a class in or out.
    pub(super) fn count(&mut self, class: class::Index, change: i32) {
        if let Some(pending) = self.pending.get_mut(usize::from(class.0)) {
            *pending = pending.saturating_add_signed(change);
        }
    }

    /// Tells whether nothing is left of the customer.
    pub(super) fn is_over(&self) -> bool {
        self.percent == 0 && self.pending == [0; CLASS_LIMIT]
    }

    /// Returns the slots that the contract covers for the requests.
    ///
    /// Above the contracted share, each class counts up to its part among the classes that have requests, so that a
    /// flood of one class takes no slots from another class of the same customer at another entry.
    pub(super) fn cover(&self, size: Size) -> Cover {
        let slots = if self.spill { size.all } else { size.home };
        let limit = u64::from(slots) * u64::from(self.percent) * MILLISLOTS_PER_SLOT / 100;
        let demand = |pending: &u32| u64::from(*pending) * MILLISLOTS_PER_SLOT;
        let whole: u64 = self.pending.iter().map(demand).sum();
        if whole <= limit {
            let room = if whole > 0 { limit - whole } else { 0 };
            return Cover { used: whole, room };
        }
        let classes = self.pending.iter().zip(&self.shares);
        let active = classes.clone().filter(|(pending, _)| **pending > 0);
        let total: u64 = active.map(|(_, share)| u64::from(*share)).sum();
        let part = |share: &u32| limit * u64::from(*share) / total.max(1);
        let used = classes
            .map(|(pending, share)| demand(pending).min(part(share)))
            .sum();
        Cover { used, room: 0 }
    }
}
