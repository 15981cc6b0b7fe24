//! Handover of requests to the entries that now own their keys.

use super::{
    Fingerprint,
    RequestState,
    Size,
    Table,
    table::Record, //
};
use crate::{
    key::Id,
    lease::Lease,
    member::Entry, //
};
use sassafrascrank_base::prelude::Time;

/// All requests in the table of one entry whose keys moved to one other entry.
///
/// It must be accepted as a whole or not at all. Losing it or receiving it twice does no harm.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Handover<A> {
    /// The process that hands over.
    pub from: Entry,
    /// The process that receives; another incarnation at the same address must not accept it.
    pub to: Entry,
    /// Whether the keys moved by the departure of the sender; otherwise by the join of the receiver.
    pub departed: bool,
    /// A moved key that was created after this time and is not among the items has never run, neither at the sender
    /// nor at an earlier owner.
    pub floor: Time,
    /// Requests, sorted by key.
    pub items: Vec<Item<A>>,
}

/// One request of a handover.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item<A> {
    /// Key of the request.
    pub id: Id,
    /// Digest of customer and request.
    pub fingerprint: Fingerprint,
    /// Its state; a request that was still running at the sender is [`RequestState::Lost`].
    pub state: RequestState<A>,
}

/// Why a handover was not accepted; the fence against the sender stays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The handover is meant for another process.
    #[error(
        "the handover is meant for another entry or incarnation: read the log and send it to a member"
    )]
    Target,
    /// The record that moved the keys has not been read, or its fence is no longer needed.
    #[error(
        "the record that moved the keys is not in this view: send the handover again in a second"
    )]
    Unread,
    /// The items don't fit into the table.
    #[error(
        "the table has no room for the handover: raise its bounds, or send it again after some minutes"
    )]
    Full,
}

impl<A: Size + Clone> Table<A> {
    /// Creates the handover to `to`.
    ///
    /// While this entry is a member, `to` is another member; after its departure, `to` is one of its successors.
    /// Returns nothing if this entry has to hand over nothing to `to`. The table and the lease must belong to the same
    /// entry. Between a call of [`Lease::apply`] and this one, no request may begin on an earlier decision of the
    /// lease.
    pub fn export(&self, lease: &Lease, to: &Entry) -> Option<Handover<A>> {
        if to == lease.me() {
            return None;
        }
        let is_moving = lease.keys_moving_to(to)?;
        let records = self
            .records
            .values()
            .filter(|record| is_moving(record.id.hash()));
        let mut items: Vec<Item<A>> = records.map(Item::from).collect();
        items.sort_by_key(|item| item.id);
        Some(Handover {
            from: lease.me().clone(),
            to: to.clone(),
            departed: lease.is_departed(),
            floor: lease.highest_fence().max(self.expired_before()),
            items,
        })
    }

    /// Adds all requests of a handover to the table, and then lowers the fence against its sender.
    ///
    /// Returns the number of requests that were not in the table.
    ///
    /// # Errors
    ///
    /// Fails if the handover is meant for another process, if the record that moved the keys has not been read, or if
    /// the table has no room. The table and the fence stay as they were, and the sender may try again.
    pub fn accept(
        &mut self,
        now: Time,
        lease: &mut Lease,
        handover: Handover<A>,
    ) -> Result<usize, Error> {
        if handover.to != *lease.me() {
            return Err(Error::Target);
        }
        if !lease.expects_handover(&handover.from, handover.departed) {
            return Err(Error::Unread);
        }
        self.expire(now);
        let expired_before = self.expired_before();
        let (mut count, mut bytes) = (0, 0);
        for item in handover
            .items
            .iter()
            .filter(|item| item.id.created() >= expired_before)
        {
            count += usize::from(!self.contains(item.id));
            bytes += item.size();
        }
        if self.records.len() + count > self.limit.requests
            || self.bytes + bytes > self.limit.total_bytes
        {
            return Err(Error::Full);
        }
        for item in handover.items {
            if item.id.created() >= expired_before {
                self.merge(item);
            }
        }
        lease.lower_fence(&handover.from, handover.departed, handover.floor);
        Ok(count)
    }

    /// Adds one item, or replaces an unknown outcome by a known one.
    fn merge(&mut self, item: Item<A>) {
        let size = item.size();
        let Item {
            id,
            fingerprint,
            state,
        } = item;
        if let Some(&slot) = self.index.get(&id) {
            let record = &mut self.records[slot];
            if matches!(record.state, RequestState::Lost) && record.fingerprint == fingerprint {
                record.state = state;
                self.bytes += size;
            }
            return;
        }
        let slot = self.insert(Record {
            id,
            fingerprint,
            state,
        });
        self.bytes += size;
        self.schedule_expiry(slot, id);
    }
}

impl<A: Size> Item<A> {
    fn size(&self) -> usize {
        match &self.state {
            RequestState::Answered(answer) => answer.size(),
            RequestState::Running(_) | RequestState::Dropped | RequestState::Lost => 0,
        }
    }
}

impl<A: Clone> From<&Record<A>> for Item<A> {
    fn from(record: &Record<A>) -> Self {
        let state = match &record.state {
            RequestState::Answered(answer) => RequestState::Answered(answer.clone()),
            RequestState::Dropped => RequestState::Dropped,
            RequestState::Running(_) | RequestState::Lost => RequestState::Lost,
        };
        Self {
            id: record.id,
            fingerprint: record.fingerprint,
            state,
        }
    }
}
