//! Decisions on a single key: its owner, its fence, and whether it may run.

use super::{
    Lease,
    State, //
};
use crate::{
    key::Key,
    member::Entry, //
};
use core::time::Duration;
use sassafrascrank_base::prelude::{
    Reason,
    Refusal,
    Time, //
};

/// Which entry owns a key in the current view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route<'a> {
    /// This entry owns the key.
    Own,
    /// Another member owns it.
    Forward(&'a Entry),
    /// The home zone has no member.
    NoOwner,
}

/// How long a caller should wait before it repeats a key that no entry can run yet: one round of confirmations.
const CONFIRM_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Lease {
    /// Returns which entry owns `key`.
    pub fn route(&self, key: &Key) -> Route<'_> {
        match self.view().owner(key) {
            Some(member) if member.entry == self.me => Route::Own,
            Some(member) => Route::Forward(&member.entry),
            None => Route::NoOwner,
        }
    }

    /// Decides whether this entry may run a key that is not in its table.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller. Its outcome is "not run" only if no entry can have run the key.
    pub fn permit(&self, now: Time, key: &Key) -> Result<(), Refusal> {
        let created = key.created();
        // The owner need not be asked, because the horizon of no entry lies further ahead than this.
        let highest_horizon = now + self.limit.fence_margin();
        if created > highest_horizon {
            let wait = created.since(highest_horizon);
            return Err(Refusal::not_run(Reason::KeyEarly).with_retry_after(wait));
        }
        if self.route(key) != Route::Own {
            return Err(
                Refusal::unknown(Reason::OwnerUnreachable).with_retry_after(CONFIRM_RETRY_AFTER)
            );
        }
        let fence = self.fence(key.hash());
        if fence == Time::MAX {
            return Err(
                Refusal::unknown(Reason::OwnerUnreachable).with_retry_after(CONFIRM_RETRY_AFTER)
            );
        }
        if created <= fence {
            return Err(Refusal::unknown(Reason::KeyExpired));
        }
        if created > self.horizon {
            let wait = created.since(self.horizon).max(CONFIRM_RETRY_AFTER);
            return Err(Refusal::unknown(Reason::KeyEarly).with_retry_after(wait));
        }
        if self.frozen {
            return Err(
                Refusal::not_run(Reason::ShuttingDown).with_retry_after(CONFIRM_RETRY_AFTER)
            );
        }
        Ok(())
    }

    /// Returns the creation time up to which an earlier owner may have run a key with this hash.
    pub fn fence(&self, hash: u64) -> Time {
        self.fences.for_key(&self.me, hash, self.join_fence())
    }

    /// Returns a fence that is at least as high as the one of any key, for a handover.
    pub(crate) fn highest_fence(&self) -> Time {
        self.fences.highest(self.join_fence())
    }

    /// Tells whether this entry has read the record that moved keys from `entry` to it: the departure of `entry` if
    /// `departed`, otherwise its own join.
    pub(crate) fn expects_handover(&self, entry: &Entry, departed: bool) -> bool {
        let listed = if departed {
            self.fences.has_departure(entry)
        } else {
            self.fences.has_predecessor(entry)
        };
        listed && self.is_member()
    }

    /// Lowers the fence against an entry once all its records of the moved keys are in the table of this entry.
    pub(crate) fn lower_fence(&mut self, entry: &Entry, departed: bool, fence: Time) {
        if departed {
            self.fences.lower_departure(entry, fence);
        } else {
            self.fences.lower_predecessor(entry, fence);
        }
    }

    /// Returns a predicate for the hashes of the keys that this entry must hand over to `to`.
    ///
    /// Returns `None` if it has to hand over nothing to `to`.
    pub(crate) fn keys_moving_to(&self, to: &Entry) -> Option<impl Fn(u64) -> bool> {
        let successors = self.successors.as_ref();
        let departed = self.state == State::Departed;
        let zone = if departed {
            successors
        } else {
            self.own_zone()
        };
        zone?.member(to)?;
        Some(move |hash: u64| match successors.filter(|_| departed) {
            // The zone right after the departure decides. By a later view, a key could go to another entry, and a
            // receiver that still holds the earlier view would conclude from its absence that the key never ran.
            Some(zone) => zone.owner(hash).is_some_and(|owner| owner.entry == *to),
            None => to.score(hash) >= self.me.score(hash),
        })
    }

    /// Tells whether this entry has departed.
    pub(crate) fn is_departed(&self) -> bool {
        self.state == State::Departed
    }

    /// Returns the fence against all owners before the join of this entry.
    fn join_fence(&self) -> Time {
        match self.state {
            State::Active(fence) => fence,
            State::Departed => self.last_join_fence,
            State::Outside | State::Joining(_) => Time::MAX,
        }
    }
}
