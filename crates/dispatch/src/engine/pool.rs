//! State of one pool within the engine.

use super::backlog::{
    Backlog,
    Capacity,
    Coverage, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_queue::Queue;
use sassafrascrank_route::{
    Router,
    partition::{
        Demand,
        MILLISLOTS_PER_SLOT, //
    },
};
use slotmap::SecondaryMap;

/// Queue and router of one pool.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) queue: Queue,
    pub(super) router: Router,
    /// Slots that this entry may use in its own availability zone.
    pub(super) slots: u32,
    /// Upstreams of the pool in the current snapshot.
    pub(super) upstreams: Vec<upstream::Key>,
    /// Maximum number of requests that one upstream runs at once.
    pub(super) upstream_slots: u32,
    /// Requests that are queued, running or waiting for a retry.
    pub(super) pending: u32,
    /// Pending requests that may use other availability zones.
    pub(super) spillable: u32,
    /// Pending requests and share of each customer.
    pub(super) backlogs: SecondaryMap<customer::Key, Backlog>,
    /// Slots of which contracts have a share.
    capacity: Capacity,
    /// Sum of the slots that the contracts of all customers cover.
    cover: Coverage,
    /// Idle slots that this entry claims beyond the contracts, in thousandths of a slot.
    extra: u64,
    demand: Demand,
    pub(super) attempt_timeout: Duration,
    /// Whether a slot may be free for a queued request.
    pub(super) dirty: bool,
}

/// Load of a pool at this entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Slots that this entry may use.
    pub slots: u32,
    /// Requests that run or wait for a retry.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
}

impl Pool {
    pub(super) fn load(&self) -> Load {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        Load {
            slots: self.slots,
            running: self.pending.saturating_sub(queued),
            queued,
        }
    }

    pub(super) fn new(queue_limit: usize) -> Self {
        Self {
            queue: Queue::new(queue_limit),
            router: Router::new(),
            slots: 0,
            upstreams: Vec::new(),
            upstream_slots: 0,
            pending: 0,
            spillable: 0,
            backlogs: SecondaryMap::new(),
            capacity: Capacity::default(),
            cover: Coverage::default(),
            extra: 0,
            demand: Demand::new(),
            attempt_timeout: Duration::ZERO,
            dirty: true,
        }
    }

    /// Changes the backlog of a customer and updates the slots that contracts cover.
    pub(super) fn update_backlog(
        &mut self,
        now: Time,
        customer: customer::Key,
        change: impl FnOnce(&mut Backlog),
    ) {
        let Some(entry) = self.backlogs.entry(customer) else {
            return;
        };
        let backlog = entry.or_default();
        let before = backlog.cover(self.capacity);
        change(backlog);
        let after = backlog.cover(self.capacity);
        if backlog.is_empty() {
            self.backlogs.remove(customer);
        }
        self.cover.used = self.cover.used - before.used + after.used;
        self.cover.room = self.cover.room - before.room + after.room;
        self.record_demand(now);
    }

    /// Sets the slots of which contracts have a share, and updates the slots that they cover.
    pub(super) fn set_capacity(&mut self, now: Time, capacity: Capacity) {
        if self.capacity == capacity {
            return;
        }
        self.capacity = capacity;
        self.cover = Coverage::default();
        for cover in self
            .backlogs
            .values()
            .map(|backlog| backlog.cover(capacity))
        {
            self.cover.used += cover.used;
            self.cover.room += cover.room;
        }
        self.record_demand(now);
    }

    /// Returns the demand for the next report in thousandths of a slot.
    ///
    /// `others_demand` is the sum of what the other entries of the zone reported, in thousandths of a slot, and
    /// `others` their number. An entry claims only its part of the idle slots in each report, since all entries may
    /// claim them at the same time, and gives the claim up at once when others need the slots.
    pub(super) fn report(&mut self, now: Time, others_demand: u64, others: u64) -> u64 {
        let own = self.demand.report(now);
        let home_millislots = u64::from(self.capacity.home) * MILLISLOTS_PER_SLOT;
        let claimed = others_demand + own + self.extra;
        let pending = u64::from(self.pending) * MILLISLOTS_PER_SLOT;
        let extra = match claimed > home_millislots {
            true => self.extra.saturating_sub(claimed - home_millislots),
            false => self.extra + (home_millislots - claimed) / (others + 1),
        };
        self.extra = extra.min(pending.saturating_sub(own));
        own + self.extra
    }

    fn record_demand(&mut self, now: Time) {
        // The number of arrivals in a service time varies by the square root of its mean. Slots follow a rise only
        // after two reports, so the demand includes this variation as far as the contracts cover it.
        let spread = (self.cover.used * MILLISLOTS_PER_SLOT).isqrt();
        let slots = self.cover.used + spread.min(self.cover.room);
        let slots = u32::try_from(slots.div_ceil(MILLISLOTS_PER_SLOT));
        self.demand.record(now, slots.unwrap_or(u32::MAX));
    }
}
