//! Handover of outcomes to the entries to which keys moved.

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

/// Everything that an entry remembers of the keys that moved from it to one other entry.
///
/// It is one message: a part of it must not be accepted. Losing it or receiving it twice does no harm.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Handover<A> {
    /// The process that hands over.
    pub from: Entry,
    /// The process that receives; another incarnation at the same address must not accept it.
    pub to: Entry,
    /// Whether the keys moved by the departure of the sender; otherwise by the join of the receiver.
    pub departed: bool,
    /// Each moved key that was created later and is not among the items never ran at or before the sender.
    pub floor: Time,
    /// Remembered requests, sorted by key.
    pub items: Vec<Item<A>>,
}

/// One remembered request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item<A> {
    /// Key of the request.
    pub id: Id,
    /// Digest of customer and request.
    pub fingerprint: Fingerprint,
    /// What became of it; a request that was still running is [`RequestState::Lost`].
    pub state: RequestState<A>,
}

/// The handover was not accepted; the fence against the sender stays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// It is meant for another process.
    #[error(
        "the handover is meant for another entry or incarnation: read the log and send it to a member"
    )]
    Target,
    /// The record that moved the keys has not been read, or its fence is no longer needed.
    #[error(
        "the record that moved the keys is not in this view: send the handover again in a second"
    )]
    Unread,
    /// The items don't fit.
    #[error(
        "the table has no room for the handover: raise its bounds, or send it again after some minutes"
    )]
    Full,
}

impl<A: Size + Clone> Table<A> {
    /// Exports what `to` needs: after the departure of this entry its successors, before it a member that joined.
    ///
    /// Returns nothing if this entry owes `to` nothing. The table and the lease must belong to the same entry, and
    /// no request may begin between a call of [`Lease::apply`] and this one under an earlier decision of the lease.
    pub fn export(&self, lease: &Lease, to: &Entry) -> Option<Handover<A>> {
        if to == lease.me() {
            return None;
        }
        let moves = lease.moves(to)?;
        let records = self
            .records
            .values()
            .filter(|record| moves(record.id.hash()));
        let mut items: Vec<Item<A>> = records.map(Item::from).collect();
        items.sort_by_key(|item| item.id);
        Some(Handover {
            from: lease.me().clone(),
            to: to.clone(),
            departed: lease.is_departed(),
            floor: lease.floor().max(self.forgotten()),
            items,
        })
    }

    /// Takes over a handover as a whole, and then lowers the fence against its sender.
    ///
    /// Returns the number of requests that were not known.
    ///
    /// # Errors
    ///
    /// Fails without any change; the sender may try again.
    pub fn accept(
        &mut self,
        now: Time,
        lease: &mut Lease,
        handover: Handover<A>,
    ) -> Result<usize, Error> {
        if handover.to != *lease.me() {
            return Err(Error::Target);
        }
        if !lease.expects(&handover.from, handover.departed) {
            return Err(Error::Unread);
        }
        self.expire(now);
        let forgotten = self.forgotten();
        let (mut count, mut bytes) = (0, 0);
        for item in handover
            .items
            .iter()
            .filter(|item| item.id.created() >= forgotten)
        {
            count += usize::from(!self.contains(item.id));
            bytes += item.size();
        }
        if self.records.len() + count > self.limit.count || self.bytes + bytes > self.limit.bytes {
            return Err(Error::Full);
        }
        for item in handover.items {
            if item.id.created() >= forgotten {
                self.take(item);
            }
        }
        lease.lower(&handover.from, handover.departed, handover.floor);
        Ok(count)
    }

    /// Adds one item, or replaces an unknown outcome by a known one.
    fn take(&mut self, item: Item<A>) {
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
        self.keep(slot, id);
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
