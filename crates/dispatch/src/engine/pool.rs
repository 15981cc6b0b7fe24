//! State of one pool within the engine.

use super::backlog::{
    Backlog,
    Cover,
    Size, //
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
    pub(super) slots: u32,
    /// Upstreams of the pool in force.
    pub(super) members: Vec<upstream::Key>,
    /// Requests that one upstream runs at once.
    pub(super) upstream_slots: u32,
    /// Requests that are queued, running or waiting for a retry.
    pub(super) pending: u32,
    /// Those of them that may leave their availability zone.
    pub(super) spillable: u32,
    /// Requests and share of each customer.
    pub(super) backlogs: SecondaryMap<customer::Key, Backlog>,
    /// Slots by which shares are counted.
    size: Size,
    /// Sum of what the contracts of all customers cover.
    cover: Cover,
    /// Idle slots that this entry claims beyond the contracts, in thousandths.
    extra: u64,
    demand: Demand,
    pub(super) attempt_timeout: Duration,
    /// Whether a slot may be free for a queued request.
    pub(super) dirty: bool,
}

/// Load of a pool as this entry sees it.
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

    pub(super) fn new(capacity: usize) -> Self {
        Self {
            queue: Queue::new(capacity),
            router: Router::new(),
            slots: 0,
            members: Vec::new(),
            upstream_slots: 0,
            pending: 0,
            spillable: 0,
            backlogs: SecondaryMap::new(),
            size: Size::default(),
            cover: Cover::default(),
            extra: 0,
            demand: Demand::new(),
            attempt_timeout: Duration::ZERO,
            dirty: true,
        }
    }

    /// Changes what is known of a customer and counts what its contract covers from then on.
    pub(super) fn change_backlog(
        &mut self,
        now: Time,
        customer: customer::Key,
        change: impl FnOnce(&mut Backlog),
    ) {
        let Some(entry) = self.backlogs.entry(customer) else {
            return;
        };
        let backlog = entry.or_default();
        let before = backlog.cover(self.size);
        change(backlog);
        let after = backlog.cover(self.size);
        if backlog.is_over() {
            self.backlogs.remove(customer);
        }
        self.cover.used = self.cover.used - before.used + after.used;
        self.cover.room = self.cover.room - before.room + after.room;
        self.record(now);
    }

    /// Counts shares by other numbers of slots from now on.
    pub(super) fn resize(&mut self, now: Time, size: Size) {
        if self.size == size {
            return;
        }
        self.size = size;
        self.cover = Cover::default();
        for cover in self.backlogs.values().map(|backlog| backlog.cover(size)) {
            self.cover.used += cover.used;
            self.cover.room += cover.room;
        }
        self.record(now);
    }

    /// Returns the demand for the next report, given what the `others` of its zone want and how many they are.
    ///
    /// Slots that nobody wants are claimed by parts, since all entries may claim them at the same time; a claim is
    /// given up at once when others want more.
    pub(super) fn report(&mut self, now: Time, others: u64, count: u64) -> u64 {
        let own = self.demand.report(now);
        let there = u64::from(self.size.home) * MILLISLOTS_PER_SLOT;
        let claimed = others + own + self.extra;
        let pending = u64::from(self.pending) * MILLISLOTS_PER_SLOT;
        let moved = match claimed > there {
            true => self.extra.saturating_sub(claimed - there),
            false => self.extra + (there - claimed) / (count + 1),
        };
        self.extra = moved.min(pending.saturating_sub(own));
        own + self.extra
    }

    fn record(&mut self, now: Time) {
        // Arrivals vary by the square root of their mean within a service time, and a part follows after two reports.
        let spread = (self.cover.used * MILLISLOTS_PER_SLOT).isqrt();
        let slots = self.cover.used + spread.min(self.cover.room);
        let slots = u32::try_from(slots.div_ceil(MILLISLOTS_PER_SLOT));
        self.demand.record(now, slots.unwrap_or(u32::MAX));
    }
}
