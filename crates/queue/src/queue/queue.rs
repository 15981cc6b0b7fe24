//! Queue of one pool.

use super::{
    Grant,
    Request,
    account::{
        Account,
        Priority,
        excess, //
    },
    entry,
    entry::{
        Charge,
        Entry, //
    },
    flow::Tag,
    lane::micros, //
};
use crate::heap::Heap;
use core::cmp::Reverse;
use sassafrascrank_base::prelude::*;
use slotmap::{
    SecondaryMap,
    SlotMap, //
};

/// Requests of all customers that wait for a slot of one pool.
///
/// Customers share the slots by weight, and inside a customer its urgency classes do. A request is charged its
/// expected cost when it gets a slot and the difference to the actual time when it leaves the slot. A customer or
/// class that has nothing waiting keeps no credit. Requests of one class start in order of arrival.
///
/// All containers are reserved up front or grow with the number of customers and the largest ticket index, so a
/// queue that has seen its load allocates nothing.
#[derive(Debug)]
pub struct Queue {
    pub(super) capacity: usize,
    pub(super) accounts: SecondaryMap<customer::Key, Account>,
    pub(super) entries: SlotMap<entry::Key, Entry>,
    /// Number of requests in classes, without those that were shed.
    pub(super) waiting: usize,
    /// Sum of the weights of the customers with waiting requests.
    pub(super) weight: u128,
    /// Sum of the weights of all customers.
    pub(super) contracted: u128,
    /// Slots that served the queue at the last `push`.
    pub(super) slots: u32,
    pub(super) running: SecondaryMap<ticket::Key, Charge>,
    pub(super) deadlines: Heap<entry::Key, Time>,
    /// Customers by the number of their waiting requests for their weight, most first.
    pub(super) longest: Heap<customer::Key, Reverse<u128>>,
    /// Shed requests that `expire` has to report; cancelled ones are stale.
    pub(super) dropped: Vec<entry::Key>,
    index: SecondaryMap<ticket::Key, entry::Key>,
    /// Customers with waiting requests that were not found at their limit.
    pub(super) ready: Heap<customer::Key, Priority>,
    /// Those of them that may use slots of other zones, in the order of their share of such slots.
    pub(super) abroad: Heap<customer::Key, Priority>,
    /// Customers with waiting requests that were found at their limit, in the order of the last look.
    pub(super) parked: Heap<customer::Key, u64>,
    pub(super) clock: Tag,
    /// Virtual time of the slots of other zones.
    pub(super) abroad_clock: Tag,
    sequence: u64,
}

impl Queue {
    /// Makes a queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            accounts: SecondaryMap::new(),
            // Shed requests stay in the arena until `expire` reports them.
            entries: SlotMap::with_capacity_and_key(capacity.saturating_mul(2)),
            waiting: 0,
            weight: 0,
            contracted: 0,
            slots: 1,
            running: SecondaryMap::with_capacity(capacity),
            deadlines: Heap::with_capacity(capacity),
            longest: Heap::with_capacity(0),
            dropped: Vec::with_capacity(capacity),
            index: SecondaryMap::with_capacity(capacity),
            ready: Heap::with_capacity(0),
            abroad: Heap::with_capacity(0),
            parked: Heap::with_capacity(0),
            clock: 0,
            abroad_clock: 0,
            sequence: 0,
        }
    }

    /// Adds a request; `slots` is the number of slots that serve this queue at the moment.
    ///
    /// A ticket that waits already keeps its place. The request may displace another one, which `expire` then
    /// reports.
    ///
    /// # Errors
    ///
    /// Refuses the request as "not run" if a limit is reached or its deadline can't be met.
    pub fn push(&mut self, now: Time, request: Request, slots: u32) -> Result<(), Refusal> {
        self.slots = slots;
        if self.index.contains_key(request.ticket) {
            return Ok(());
        }
        let expiry = self.admit(now, &request)?;
        let epoch = self.next_sequence();
        let unknown = Refusal::not_run(Reason::PoolUnknown);
        let account = self.accounts.get_mut(request.customer).ok_or(unknown)?;
        let lane = account.lane_mut(request.class).ok_or(unknown)?;
        let key = lane.append(&mut self.entries, request, expiry);
        account.added(request.class, epoch);
        if account.count == 1 {
            account.flow.activate(self.clock, epoch);
            account.abroad.activate(self.abroad_clock, epoch);
            self.weight += account.flow.weight;
        }
        self.waiting += 1;
        self.index.insert(request.ticket, key);
        self.deadlines.set(key, expiry);
        self.reorder(request.customer);
        Ok(())
    }

    /// Corrects the charge of a request that has left its slot after `actual` time.
    ///
    /// A grant that was finished before is ignored.
    pub fn finish(&mut self, _now: Time, grant: &Grant, actual: Duration) {
        let Some(charge) = self.running.remove(grant.ticket) else {
            return;
        };
        let Some(account) = self.accounts.get_mut(charge.customer) else {
            return;
        };
        let actual = micros(actual);
        account
            .flow_mut(charge.spill)
            .correct(charge.account_epoch, charge.charged, actual);
        if let Some(lane) = account.lane_mut(charge.class) {
            lane.flow.correct(charge.lane_epoch, charge.charged, actual);
            lane.learn(charge.expected, actual);
        }
        self.unpark(charge.customer);
        self.reorder(charge.customer);
    }

    /// Considers a customer again that was at its limit, for limits that `finish` doesn't tell of.
    pub fn unpark(&mut self, customer: customer::Key) {
        if !self.parked.remove(customer) {
            return;
        }
        let epoch = self.next_sequence();
        if let Some(account) = self.accounts.get_mut(customer) {
            // It is served next, but the time at its limit gives no credit.
            account.flow.activate(self.clock, epoch);
            account.abroad.activate(self.abroad_clock, epoch);
        }
        self.reorder(customer);
    }

    /// Removes a waiting request whose caller has gone; tells whether it was waiting.
    pub fn cancel(&mut self, ticket: ticket::Key) -> bool {
        let Some(&key) = self.index.get(ticket) else {
            return false;
        };
        self.detach(key);
        self.forget(key).is_some()
    }

    /// Removes requests that can no longer start in time and appends them to `expired`.
    pub fn expire(&mut self, now: Time, expired: &mut Vec<(ticket::Key, Refusal)>) {
        while let Some(key) = self.dropped.pop() {
            self.report(key, expired);
        }
        while let Some((expiry, key)) = self.deadlines.first() {
            if expiry > now {
                return;
            }
            self.detach(key);
            self.report(key, expired);
        }
    }

    /// Returns when `expire` has to run next; the time may have passed.
    pub fn next_expiry(&self) -> Option<Time> {
        if !self.dropped.is_empty() {
            return Some(Time::MIN);
        }
        self.deadlines.first().map(|(expiry, _)| expiry)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the size of all allocated containers in bytes; it stays the same while nothing is allocated.
    pub fn capacity_bytes(&self) -> usize {
        self.accounts.capacity() * size_of::<Account>()
            + self.entries.capacity() * size_of::<Entry>()
            + self.running.capacity() * size_of::<Charge>()
            + self.dropped.capacity() * size_of::<entry::Key>()
            + self.index.capacity() * size_of::<entry::Key>()
            + self.deadlines.capacity_bytes()
            + self.longest.capacity_bytes()
            + self.ready.capacity_bytes()
            + self.abroad.capacity_bytes()
            + self.parked.capacity_bytes()
    }

    /// Takes a request out of its class and leaves it to `expire`.
    pub(super) fn shed(&mut self, key: entry::Key, reason: Reason) {
        self.detach(key);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.shed = Some(reason);
            self.deadlines.remove(key);
            self.dropped.push(key);
        }
    }

    /// Returns the request of a customer that is served next.
    pub(super) fn head(&self, customer: customer::Key) -> Option<entry::Key> {
        let account = self.accounts.get(customer)?;
        account.lane(account.next()?)?.first
    }

    /// Takes a request out of its class unless it was shed before.
    pub(super) fn detach(&mut self, key: entry::Key) {
        let Some(&entry) = self.entries.get(key) else {
            return;
        };
        let Request {
            customer, class, ..
        } = entry.request;
        let account = self.accounts.get_mut(customer);
        let (None, Some(account)) = (entry.shed, account) else {
            return;
        };
        if let Some(lane) = account.lane_mut(class) {
            lane.unlink(&mut self.entries, &entry);
        }
        account.removed(class);
        if account.count == 0 {
            self.weight -= account.flow.weight;
        }
        self.waiting -= 1;
        self.reorder(customer);
    }

    /// Drops a request that has left its class and appends its refusal, unless its key is stale.
    fn report(&mut self, key: entry::Key, expired: &mut Vec<(ticket::Key, Refusal)>) {
        if let Some(entry) = self.forget(key) {
            expired.push((entry.request.ticket, self.refusal(&entry)));
        }
    }

    /// Drops a request that has left its class.
    pub(super) fn forget(&mut self, key: entry::Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.deadlines.remove(key);
        self.index.remove(entry.request.ticket);
        Some(entry)
    }

    /// Brings the places of a customer in the heaps up to date.
    pub(super) fn reorder(&mut self, customer: customer::Key) {
        let account = self.accounts.get(customer);
        let next = account.and_then(|account| Some((account, account.next()?)));
        let Some((account, next)) = next else {
            self.ready.remove(customer);
            self.abroad.remove(customer);
            self.parked.remove(customer);
            self.longest.remove(customer);
            return;
        };
        let excess = excess(account.count, account.flow.weight);
        let (start, order) = (account.flow.start, self.sequence);
        let (abroad, spill) = (account.abroad.start, account.spill);
        self.longest.set(customer, Reverse(excess));
        if !self.parked.contains(customer) {
            self.ready.set(customer, (start, next.0, order));
            match spill {
                true => self.abroad.set(customer, (abroad, next.0, order)),
                false => drop(self.abroad.remove(customer)),
            }
            self.next_sequence();
        }
    }

    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
