//! Admission: estimated waits, limits and shedding.

use super::{
    Queue, Request,
    account::{
        Account,
        requests_per_weight, //
    },
    entry,
    entry::Entry,
    lane::{
        Lane,
        micros, //
    },
};
use sassafrascrank_base::prelude::*;

/// Divisor of the estimated wait that gives the margin added to it.
///
/// Without a margin, requests that would just miss their deadline are admitted, and refused only when it passes.
const MARGIN_DIVISOR: u32 = 8;
/// Multiple of the estimated wait that is added as a margin until the costs of a class are known.
///
/// With this margin, requests at the start of a flood are answered in time even if they take up to four times their
/// declared cost.
const UNLEARNED_MARGIN_FACTOR: u32 = 3;
/// Shortest delay that a refused caller is told to wait before it tries again.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(1);

impl Queue {
    /// Decides on a new request and returns the latest time at which it may start.
    ///
    /// # Errors
    ///
    /// Refuses the request if its deadline can't be met, if no room can be made for it, or if its customer or class is
    /// unknown.
    pub(super) fn admit(&mut self, now: Time, request: &Request) -> Result<Time, Refusal> {
        let unknown = Refusal::not_run(Reason::PoolUnknown);
        let account = self.accounts.get(request.customer).ok_or(unknown)?;
        let lane = account.lane(request.class).ok_or(unknown)?;
        let expiry = (now + lane.class.timeout).min(request.deadline - request.cost);
        let unmet = Refusal::not_run(Reason::DeadlineUnmet);
        if expiry <= now {
            return Err(unmet);
        }
        let wait = self.estimate_admission_wait(account, lane, request.cost, expiry.since(now));
        let margin = if lane.has_learned() {
            wait / MARGIN_DIVISOR
        } else {
            wait.saturating_mul(UNLEARNED_MARGIN_FACTOR)
        };
        let start = now + wait + margin;
        if start >= expiry {
            // After this delay the same request would be admitted if no other request arrived in between.
            let later = start.since(expiry).max(RETRY_AFTER_MIN);
            self.record_refused_wait(request, expiry.since(now));
            return Err(unmet.with_retry_after(later));
        }
        let full = lane.count >= lane.class.limit;
        if full && !self.shed_in_class(now, request) {
            return Err(full_refusal(wait));
        }
        if self.waiting >= self.capacity && !self.shed_in_queue(now, request) {
            return Err(full_refusal(wait));
        }
        if self.unreported.len() >= self.capacity {
            return Err(full_refusal(wait));
        }
        Ok(expiry)
    }

    /// Returns the refusal for the caller of a removed request.
    pub(super) fn refusal(&self, entry: &Entry) -> Refusal {
        let reason = entry.shed.unwrap_or(Reason::DeadlineUnmet);
        let account = self.accounts.get(entry.request.customer);
        let lane = account.and_then(|account| Some((account, account.lane(entry.request.class)?)));
        let wait = lane.map_or(Duration::ZERO, |(account, lane)| {
            self.estimate_wait(account, lane, lane.work, micros(entry.request.cost))
        });
        Refusal::not_run(reason).with_retry_after(retry_after(wait))
    }

    /// Estimates the wait of a new request that may wait for at most `max_wait`.
    ///
    /// If the class has refused a request that would have waited at least as long, the estimate assumes that the class
    /// gets only its contracted share; see [`Lane::longest_refused_wait`].
    fn estimate_admission_wait(
        &self,
        account: &Account,
        lane: &Lane,
        cost: Duration,
        max_wait: Duration,
    ) -> Duration {
        let wait = self.estimate_wait(account, lane, lane.work, micros(cost));
        if max_wait > lane.longest_refused_wait || wait.is_zero() {
            return wait;
        }
        let total_weight = self.total_weight.saturating_mul(account.total_weight);
        wait.max(self.estimate_wait_at_weight(account, lane, lane.work, micros(cost), total_weight))
    }

    /// Records that the class of `request` has refused a request that would have waited for `max_wait`.
    fn record_refused_wait(&mut self, request: &Request, max_wait: Duration) {
        let account = self.accounts.get_mut(request.customer);
        let lane = account.and_then(|account| account.lane_mut(request.class));
        if let Some(lane) = lane.filter(|lane| lane.count > 0) {
            lane.longest_refused_wait = lane.longest_refused_wait.max(max_wait);
        }
    }

    /// Estimates the time until a request of `cost` starts that has `work` of its class in front of it, both in
    /// microseconds.
    ///
    /// The class is assumed to get its share among the customers and classes that have waiting requests now.
    fn estimate_wait(&self, account: &Account, lane: &Lane, work: u64, cost: u64) -> Duration {
        let slots = u128::from(self.slots.max(1));
        let busy = self.running.len() >= usize::try_from(slots).unwrap_or(usize::MAX);
        if !busy && self.waiting == 0 {
            return Duration::ZERO;
        }
        let pool = self.active_weight + weight_if_idle(account.count, account.flow.weight);
        let classes = account.active_weight + weight_if_idle(lane.count, lane.flow.weight);
        self.estimate_wait_at_weight(account, lane, work, cost, pool.saturating_mul(classes))
    }

    /// Estimates the time until a request starts if its class gets its weight out of `total_weight`.
    fn estimate_wait_at_weight(
        &self,
        account: &Account,
        lane: &Lane,
        work: u64,
        cost: u64,
        total_weight: u128,
    ) -> Duration {
        let slots = u128::from(self.slots.max(1));
        // If all slots are busy, one becomes free after about the cost of a request divided by the number of slots.
        let next_slot = u128::from(lane.corrected_cost(cost)) / slots;
        let work = match work {
            0 => 0,
            work => u128::from(lane.corrected_cost(work)),
        };
        let weighted_work = work.saturating_mul(total_weight);
        let weighted_slots = slots * account.flow.weight * lane.flow.weight;
        let micros = u64::try_from(weighted_work / weighted_slots + next_slot).unwrap_or(u64::MAX);
        Duration::from_micros(micros)
    }

    /// Makes room in the class of `request` by shedding a request that can't be answered in time.
    fn shed_in_class(&mut self, now: Time, request: &Request) -> bool {
        let account = self.accounts.get(request.customer);
        let lane = account.and_then(|account| account.lane(request.class));
        let last = lane.filter(|lane| lane.class.limit > 0);
        let last = last.and_then(|lane| lane.last);
        let first = self.deadlines.first().map(|(_, key)| key);
        let found = [first, last].into_iter().flatten().find(|&key| {
            let same = |r: &Request| r.customer == request.customer && r.class == request.class;
            let entry = self.entries.get(key);
            entry.is_some_and(|entry| same(&entry.request) && self.misses_deadline(now, entry))
        });
        let Some(key) = found else {
            return false;
        };
        self.shed(key, Reason::DeadlineUnmet);
        true
    }

    /// Makes room in the queue by shedding a request that can't be answered in time, or else the newest request of
    /// the class that has the most requests per weight.
    fn shed_in_queue(&mut self, now: Time, request: &Request) -> bool {
        let first = self.deadlines.first().map(|(_, key)| key);
        let late = first.filter(|&key| {
            let entry = self.entries.get(key);
            entry.is_some_and(|entry| self.misses_deadline(now, entry))
        });
        if let Some(key) = late {
            self.shed(key, Reason::DeadlineUnmet);
            return true;
        }
        let Some(key) = self.displaced_by(request) else {
            return false;
        };
        self.shed(key, Reason::QueueFull);
        true
    }

    /// Returns the request that gives way to `request` in a full queue.
    fn displaced_by(&self, request: &Request) -> Option<entry::Key> {
        let (_, customer) = self.longest.first()?;
        let longest = self.accounts.get(customer)?;
        if customer != request.customer {
            let own = self.accounts.get(request.customer)?;
            let after = requests_per_weight(own.count + 1, own.flow.weight);
            let more = requests_per_weight(longest.count, longest.flow.weight) > after;
            return if more {
                newest_of_longest_class(longest)
            } else {
                None
            };
        }
        let class = longest.longest_class()?;
        let own = longest.lane(request.class)?;
        let other = longest.lane(class)?;
        let after = requests_per_weight(own.count + 1, own.flow.weight);
        let more = requests_per_weight(other.count, other.flow.weight) > after;
        if more { other.last } else { None }
    }

    /// Returns whether a waiting request can't start in time at the current share of its class.
    fn misses_deadline(&self, now: Time, entry: &Entry) -> bool {
        let Some(account) = self.accounts.get(entry.request.customer) else {
            return false;
        };
        let Some(lane) = account.lane(entry.request.class) else {
            return false;
        };
        if entry.shed.is_some() {
            return false;
        }
        let work = lane.work_before(&self.entries, entry);
        now + self.estimate_wait(account, lane, work, micros(entry.request.cost)) >= entry.expiry
    }
}

/// Returns the newest request of the class with the most waiting requests per weight.
fn newest_of_longest_class(account: &Account) -> Option<entry::Key> {
    account.lane(account.longest_class()?)?.last
}

/// Returns the weight if no request is waiting, since the sum of active weights doesn't include it then.
fn weight_if_idle(count: u32, weight: u128) -> u128 {
    if count == 0 { weight } else { 0 }
}

fn full_refusal(wait: Duration) -> Refusal {
    Refusal::not_run(Reason::QueueFull).with_retry_after(retry_after(wait))
}

/// Returns the delay after which about half of the requests in front have started.
fn retry_after(wait: Duration) -> Duration {
    (wait / 2).max(RETRY_AFTER_MIN)
}
