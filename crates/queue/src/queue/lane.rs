//! Queue of one urgency class of one customer.

use super::{
    Class, Request, entry,
    entry::Entry,
    flow::{
        Flow,
        Tag, //
    },
};
use sassafrascrank_base::prelude::*;
use slotmap::SlotMap;

/// Number of requests over which the ratio of actual to expected cost is averaged.
///
/// The error of the ratio stays near a tenth if service times differ by up to ten times. With 16 requests, it exceeded
/// the margin of admission, and admitted requests missed their deadline.
const RATIO_WINDOW: u64 = 64;
/// Finished requests after which the ratio is accurate enough for the small admission margin.
const LEARNED_SAMPLES: u64 = 16;
/// Largest factor by which an expected cost is raised or lowered; it bounds the effect of failing hosts.
const RATIO_LIMIT: u64 = 64;

/// Requests of one class in order of arrival, linked through the arena.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lane {
    /// Limits.
    pub(crate) class: Class,
    /// Flow among the classes of the customer.
    pub(crate) flow: Flow,
    /// Number of requests.
    pub(crate) count: u32,
    /// Sum of expected costs in microseconds.
    pub(crate) work: u64,
    /// Oldest request.
    pub(crate) first: Option<entry::Key>,
    /// Newest request.
    pub(crate) last: Option<entry::Key>,
    /// Longest wait that a refused request would have accepted since the lane was last empty.
    ///
    /// Requests that accept no longer wait are admitted only if the contracted share serves them in time: a class in
    /// overload is served no faster with a long queue than with a short one, but a long queue misses its deadlines
    /// when other customers or classes become active again.
    pub(crate) longest_refused_wait: Duration,
    /// Sum of the expected costs of all requests added so far, in microseconds; it wraps around.
    work_entered: u64,
    /// Decaying sum of expected costs in microseconds.
    expected_sum: u64,
    /// Decaying sum of actual costs in microseconds.
    actual_sum: u64,
    /// Number of finished requests, up to `RATIO_WINDOW`.
    samples: u64,
}

impl Lane {
    /// Creates an empty lane.
    pub(crate) fn new(class: Class, epoch: u64) -> Self {
        Self {
            class,
            flow: Flow::new(class.share, 0, epoch),
            count: 0,
            work: 0,
            first: None,
            last: None,
            longest_refused_wait: Duration::ZERO,
            work_entered: 0,
            expected_sum: 0,
            actual_sum: 0,
            samples: 0,
        }
    }

    /// Changes the limits; waiting requests stay.
    pub(crate) fn set_class(&mut self, class: Class, clock: Tag, epoch: u64) {
        self.class = class;
        self.flow.set_share(class.share, clock, epoch);
    }

    /// Appends a request.
    pub(crate) fn append(
        &mut self,
        entries: &mut SlotMap<entry::Key, Entry>,
        request: Request,
        expiry: Time,
    ) -> entry::Key {
        let key = entries.insert(Entry {
            request,
            expiry,
            work_entered_before: self.work_entered,
            previous: self.last,
            next: None,
            shed: None,
        });
        match self.last.and_then(|last| entries.get_mut(last)) {
            Some(last) => last.next = Some(key),
            None => self.first = Some(key),
        }
        self.last = Some(key);
        self.count += 1;
        let cost = micros(request.cost);
        self.work = self.work.saturating_add(cost);
        self.work_entered = self.work_entered.wrapping_add(cost);
        key
    }

    /// Removes a request from the linked list; it stays in the arena.
    pub(crate) fn unlink(&mut self, entries: &mut SlotMap<entry::Key, Entry>, entry: &Entry) {
        match entry
            .previous
            .and_then(|previous| entries.get_mut(previous))
        {
            Some(previous) => previous.next = entry.next,
            None => self.first = entry.next,
        }
        match entry.next.and_then(|next| entries.get_mut(next)) {
            Some(next) => next.previous = entry.previous,
            None => self.last = entry.previous,
        }
        self.count -= 1;
        if self.count == 0 {
            self.longest_refused_wait = Duration::ZERO;
        }
        self.work = self.work.saturating_sub(micros(entry.request.cost));
    }

    /// Returns the expected cost of the requests before `entry`, in microseconds.
    ///
    /// The result is an upper bound: removed requests count until the first request is one that arrived after them.
    pub(crate) fn work_before(&self, entries: &SlotMap<entry::Key, Entry>, entry: &Entry) -> u64 {
        let front = self.first.and_then(|first| entries.get(first));
        let passed = front.map_or(entry.work_entered_before, |front| front.work_entered_before);
        entry
            .work_entered_before
            .wrapping_sub(passed)
            .min(self.work)
    }

    /// Returns `cost` times the ratio of actual to expected costs so far, in microseconds and at least 1.
    pub(crate) fn corrected_cost(&self, cost: u64) -> u64 {
        if self.expected_sum == 0 {
            return cost.max(1);
        }
        let exact = u128::from(cost) * u128::from(self.actual_sum) / u128::from(self.expected_sum);
        let most = cost.saturating_mul(RATIO_LIMIT);
        let least = (cost / RATIO_LIMIT).max(1);
        u64::try_from(exact)
            .unwrap_or(u64::MAX)
            .min(most)
            .max(least)
    }

    /// Returns whether enough requests have finished for an accurate ratio of actual to expected costs.
    pub(crate) fn has_learned(&self) -> bool {
        self.samples >= LEARNED_SAMPLES
    }

    /// Updates the ratio of actual to expected costs, in microseconds, with a request that has left its slot.
    ///
    /// Without the ratio, expected costs that are wrong by a constant factor distort the shares until the requests
    /// finish.
    pub(crate) fn record_cost(&mut self, expected: u64, actual: u64) {
        if self.expected_sum == 0 {
            // The first declared cost counts as one sample with a ratio of 1, which damps the first ratios.
            self.expected_sum = expected.max(1);
            self.actual_sum = self.expected_sum;
        }
        self.samples += 1;
        if self.samples > RATIO_WINDOW {
            self.samples = RATIO_WINDOW;
            self.expected_sum -= self.expected_sum / RATIO_WINDOW;
            self.actual_sum -= self.actual_sum / RATIO_WINDOW;
        }
        self.expected_sum = self.expected_sum.saturating_add(expected.max(1));
        self.actual_sum = self.actual_sum.saturating_add(actual);
    }
}

/// Returns a duration in whole microseconds.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
