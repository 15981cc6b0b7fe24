//! Fair queue of one pool.

use super::{
    Grant,
    Request,
    account::{
        Account,
        Priority,
        requests_per_weight, //
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

/// Start-time fair queue of the requests of all customers that wait for a slot of one pool.
///
/// Customers share the slots by weight, and the urgency classes of a customer share its slots by weight. A request
/// is charged its expected cost when it gets a slot, and the difference to the actual time when it leaves the slot.
/// A customer or class without waiting requests saves up no credit. Requests of one class start in order of arrival.
///
/// All containers are allocated up front or grow with the number of customers and the largest ticket index, so the
/// queue allocates nothing once it has had its largest load.
#[derive(Debug)]
pub struct Queue {
    pub(super) capacity: usize,
    pub(super) accounts: SecondaryMap<customer::Key, Account>,
    pub(super) entries: SlotMap<entry::Key, Entry>,
    /// Number of waiting requests, without those that were shed.
    pub(super) waiting: usize,
    /// Sum of the weights of the customers with waiting requests.
    pub(super) active_weight: u128,
    /// Sum of the weights of all customers.
    pub(super) total_weight: u128,
    /// Slots that served the queue at the last `push`.
    pub(super) slots: u32,
    pub(super) running: SecondaryMap<ticket::Key, Charge>,
    pub(super) deadlines: Heap<entry::Key, Time>,
    /// Customers by the number of waiting requests per weight, highest first.
    pub(super) longest: Heap<customer::Key, Reverse<u128>>,
    /// Shed requests that `expire` has yet to report; the keys of cancelled ones are stale.
    pub(super) unreported: Vec<entry::Key>,
    index: SecondaryMap<ticket::Key, entry::Key>,
    /// Customers with waiting requests, apart from the parked ones.
    pub(super) ready: Heap<customer::Key, Priority>,
    /// Those of them that may use slots of other zones, by their start tag for such slots.
    pub(super) spill_ready: Heap<customer::Key, Priority>,
    /// Customers with waiting requests that were found at their limit, least recently checked first.
    pub(super) parked: Heap<customer::Key, u64>,
    /// Virtual time of the slots of the home zone.
    pub(super) clock: Tag,
    /// Virtual time of the slots of other zones.
    pub(super) spill_clock: Tag,
    sequence: u64,
}

impl Queue {
    /// Creates a queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            accounts: SecondaryMap::new(),
            // Shed requests stay in the arena until `expire` reports them.
            entries: SlotMap::with_capacity_and_key(capacity.saturating_mul(2)),
            waiting: 0,
            active_weight: 0,
            total_weight: 0,
            slots: 1,
            running: SecondaryMap::with_capacity(capacity),
            deadlines: Heap::with_capacity(capacity),
            longest: Heap::with_capacity(0),
            unreported: Vec::with_capacity(capacity),
            index: SecondaryMap::with_capacity(capacity),
            ready: Heap::with_capacity(0),
            spill_ready: Heap::with_capacity(0),
            parked: Heap::with_capacity(0),
            clock: 0,
            spill_clock: 0,
            sequence: 0,
        }
    }

    /// Adds a request; `slots` is the number of slots that serve this queue at the moment.
    ///
    /// A ticket that is already waiting keeps its position. The request may displace another one, which `expire` then
    /// reports.
    ///
    /// # Errors
    ///
    /// Refuses the request as "not run" if a limit is reached, if its deadline can't be met, or if its customer or
    /// class is unknown.
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
        account.count_added(request.class, epoch);
        if account.count == 1 {
            account.flow.activate(self.clock, epoch);
            account.spill_flow.activate(self.spill_clock, epoch);
            self.active_weight += account.flow.weight;
        }
        self.waiting += 1;
        self.index.insert(request.ticket, key);
        self.deadlines.set(key, expiry);
        self.update_heaps(request.customer);
        Ok(())
    }

    /// Corrects the charge of a request that has left its slot after `actual` time.
    ///
    /// A grant that has been finished already is ignored.
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
            lane.record_cost(charge.expected, actual);
        }
        self.unpark(charge.customer);
        self.update_heaps(charge.customer);
    }

    /// Makes a parked customer eligible again; to be called when its limit changes other than by `finish`.
    pub fn unpark(&mut self, customer: customer::Key) {
        if !self.parked.remove(customer) {
            return;
        }
        let epoch = self.next_sequence();
        if let Some(account) = self.accounts.get_mut(customer) {
            // The customer may be served next, but gets no credit for the time at its limit.
            account.flow.activate(self.clock, epoch);
            account.spill_flow.activate(self.spill_clock, epoch);
        }
        self.update_heaps(customer);
    }

    /// Removes a waiting request whose caller has disconnected; returns whether it was waiting.
    pub fn cancel(&mut self, ticket: ticket::Key) -> bool {
        let Some(&key) = self.index.get(ticket) else {
            return false;
        };
        self.detach(key);
        self.remove_entry(key).is_some()
    }

    /// Removes requests that can no longer start in time, and appends them and those that were shed to `expired`.
    pub fn expire(&mut self, now: Time, expired: &mut Vec<(ticket::Key, Refusal)>) {
        while let Some(key) = self.unreported.pop() {
            self.append_refusal(key, expired);
        }
        while let Some((expiry, key)) = self.deadlines.first() {
            if expiry > now {
                return;
            }
            self.detach(key);
            self.append_refusal(key, expired);
        }
    }

    /// Returns the time at which `expire` has to run next; it may lie in the past.
    pub fn next_expiry(&self) -> Option<Time> {
        if !self.unreported.is_empty() {
            return Some(Time::MIN);
        }
        self.deadlines.first().map(|(expiry, _)| expiry)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the size of all containers in bytes; it changes only when memory is allocated.
    pub fn capacity_bytes(&self) -> usize {
        self.accounts.capacity() * size_of::<Account>()
            + self.entries.capacity() * size_of::<Entry>()
            + self.running.capacity() * size_of::<Charge>()
            + self.unreported.capacity() * size_of::<entry::Key>()
            + self.index.capacity() * size_of::<entry::Key>()
            + self.deadlines.capacity_bytes()
            + self.longest.capacity_bytes()
            + self.ready.capacity_bytes()
            + self.spill_ready.capacity_bytes()
            + self.parked.capacity_bytes()
    }

    /// Removes a request from its class and leaves it to `expire` to report it.
    pub(super) fn shed(&mut self, key: entry::Key, reason: Reason) {
        self.detach(key);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.shed = Some(reason);
            self.deadlines.remove(key);
            self.unreported.push(key);
        }
    }

    /// Returns the request of a customer that starts next.
    pub(super) fn head(&self, customer: customer::Key) -> Option<entry::Key> {
        let account = self.accounts.get(customer)?;
        account.lane(account.next_class()?)?.first
    }

    /// Removes a request from its class unless it has been shed already.
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
        account.count_removed(class);
        if account.count == 0 {
            self.active_weight -= account.flow.weight;
        }
        self.waiting -= 1;
        self.update_heaps(customer);
    }

    /// Removes a request that has left its class and appends its refusal, unless its key is stale.
    fn append_refusal(&mut self, key: entry::Key, expired: &mut Vec<(ticket::Key, Refusal)>) {
        if let Some(entry) = self.remove_entry(key) {
            expired.push((entry.request.ticket, self.refusal(&entry)));
        }
    }

    /// Removes a request that has left its class from the arena and the indexes.
    pub(super) fn remove_entry(&mut self, key: entry::Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.deadlines.remove(key);
        self.index.remove(entry.request.ticket);
        Some(entry)
    }

    /// Updates the positions of a customer in the heaps after its requests or its flows have changed.
    pub(super) fn update_heaps(&mut self, customer: customer::Key) {
        let account = self.accounts.get(customer);
        let next = account.and_then(|account| Some((account, account.next_class()?)));
        let Some((account, next)) = next else {
            self.ready.remove(customer);
            self.spill_ready.remove(customer);
            self.parked.remove(customer);
            self.longest.remove(customer);
            return;
        };
        let requests_per_weight = requests_per_weight(account.count, account.flow.weight);
        let (start, order) = (account.flow.start, self.sequence);
        let (spill_start, spill) = (account.spill_flow.start, account.spill);
        self.longest.set(customer, Reverse(requests_per_weight));
        if !self.parked.contains(customer) {
            self.ready.set(customer, (start, next.0, order));
            match spill {
                true => self.spill_ready.set(customer, (spill_start, next.0, order)),
                false => drop(self.spill_ready.remove(customer)),
            }
            self.next_sequence();
        }
    }

    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
