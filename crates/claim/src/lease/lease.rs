//! Lease of one entry on the keys that it owns.

use super::{
    Limit,
    fence::Fences,
    round::Round, //
};
use crate::member::{
    self,
    Change,
    Effect,
    Entry,
    Fold,
    Record,
    View,
    Zone, //
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::{
    Name,
    Time, //
};

/// Membership of this entry, as far as it has read the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It has not read its join yet.
    Outside,
    /// It read its join at the given time, and no active member has acknowledged it yet; its fence is infinite.
    Joining(Time),
    /// It is an active member; the time is its fence against all owners before its join.
    Active(Time),
    /// It was removed by its own leave or by a retirement; it never runs a key again.
    Departed,
}

/// View, horizon and fences of one entry process.
///
/// The lease is safe only if its user keeps three rules:
///
/// - The time passed with a received message or record is read after its receipt; the start of a request is read before
///   it is sent.
/// - A decision to run a key is entered in the table before the next record is applied.
/// - A new process has a higher incarnation than any earlier one on its host, from 1.
#[derive(Clone, Debug)]
pub struct Lease {
    pub(super) me: Entry,
    pub(super) zone: Name,
    pub(super) limit: Limit,
    pub(super) fold: Fold,
    pub(super) state: State,
    /// Fence of the join when this entry departed.
    pub(super) last_join_fence: Time,
    pub(super) fences: Fences,
    /// Latest creation time that a confirmed view lets this entry run; it never falls.
    pub(super) horizon: Time,
    /// Whether this entry has stopped running new keys and never resumes.
    pub(super) frozen: bool,
    /// State of the zone right after the departure of this entry, if it read the record of the departure.
    pub(super) successors: Option<Zone>,
    /// Start of the last log read that confirmed the view.
    pub(super) last_read: Option<Time>,
    /// Whether this entry became active without an acknowledgement of its join; a late one may lower its fence.
    pub(super) is_unacknowledged: bool,
    /// Confirmation by the peers that is in progress.
    pub(super) round: Option<Round>,
    /// Sequence number of the last record that this entry made.
    sequence: u64,
    /// Record whose append has not been read back yet.
    pub(super) pending: Option<Record>,
}

/// Why this entry can't append a membership record now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// Another append of this entry is in flight.
    #[error("a membership append is in flight: repeat it until it is read back")]
    Pending,
    /// The membership of this entry doesn't allow the record.
    #[error(
        "the membership state {0:?} doesn't allow this record: join with a higher incarnation, or wait"
    )]
    State(State),
    /// The entry to retire is not another member of the zone.
    #[error("only another member of the same zone can be retired: read the log and check again")]
    Target,
}

impl Lease {
    /// Creates the lease of an entry that has not joined; `fold` is what it has read so far.
    pub const fn new(me: Entry, zone: Name, limit: Limit, fold: Fold) -> Self {
        Self {
            me,
            zone,
            limit,
            fold,
            state: State::Outside,
            last_join_fence: Time::MAX,
            fences: Fences::new(),
            horizon: Time::MIN,
            frozen: false,
            successors: None,
            last_read: None,
            is_unacknowledged: false,
            round: None,
            sequence: 0,
            pending: None,
        }
    }

    /// Returns this entry.
    pub const fn me(&self) -> &Entry {
        &self.me
    }

    /// Returns the current view; a clone of it is a snapshot.
    pub const fn view(&self) -> &View {
        self.fold.view()
    }

    /// Returns the membership state of this entry.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns the latest creation time of a key that this entry may run.
    pub const fn horizon(&self) -> Time {
        self.horizon
    }

    /// Returns the record that must be appended again until it is read back.
    pub const fn pending(&self) -> Option<&Record> {
        self.pending.as_ref()
    }

    /// Makes the record with which this entry joins.
    ///
    /// # Errors
    ///
    /// Fails if this entry has joined before or has an append in flight.
    pub fn join(&mut self, address: SocketAddr) -> Result<Record, Error> {
        if self.state != State::Outside {
            return Err(Error::State(self.state));
        }
        let entry = self.me.clone();
        let zone = self.zone.clone();
        self.prepare_append(Change::Join {
            entry,
            zone,
            address,
        })
    }

    /// Stops running new keys for good and makes the record with which this entry leaves.
    ///
    /// # Errors
    ///
    /// Fails if this entry is not a member or has an append in flight. It stops running new keys even then.
    pub fn leave(&mut self) -> Result<Record, Error> {
        self.frozen = true;
        if !self.is_member() {
            return Err(Error::State(self.state));
        }
        let entry = self.me.clone();
        self.prepare_append(Change::Leave { entry })
    }

    /// Makes the record that retires a member that this entry has not heard from.
    ///
    /// # Errors
    ///
    /// Fails if this entry is not active, has an append in flight, or `entry` is not another member of its zone.
    pub fn retire(&mut self, entry: Entry) -> Result<Record, Error> {
        if !matches!(self.state, State::Active(_)) {
            return Err(Error::State(self.state));
        }
        if entry == self.me
            || self
                .own_zone()
                .is_none_or(|zone| zone.member(&entry).is_none())
        {
            return Err(Error::Target);
        }
        let by = self.me.clone();
        self.prepare_append(Change::Retire { entry, by })
    }

    /// Folds a record of the log that was read at `now`.
    ///
    /// # Errors
    ///
    /// Fails if records before it are missing.
    pub fn apply(
        &mut self,
        now: Time,
        offset: u64,
        record: &Record,
    ) -> Result<Effect, member::Error> {
        let had_zone = self.own_zone().is_some();
        let effect = self.fold.apply(offset, record)?;
        match &effect {
            Effect::Joined(entry, zone) if *zone == self.zone => {
                self.round = None;
                if *entry == self.me {
                    self.handle_own_join(now, had_zone);
                }
            }
            Effect::Departed(entry, zone) if *zone == self.zone => {
                self.round = None;
                self.handle_departure(now, entry.clone());
            }
            _ => {}
        }
        self.clear_pending(record);
        // If its join changed nothing, the same or a higher incarnation of this host has joined before.
        if self.state == State::Outside && self.is_superseded() {
            self.depart();
        }
        Ok(effect)
    }

    /// Replaces the view by that of a peer if it is newer, and tells whether it did.
    ///
    /// Entries may have joined, run keys and departed in the records that this entry skips, so the fence for all keys
    /// rises as if such an entry had departed now.
    pub fn import(&mut self, now: Time, view: View) -> bool {
        if !self.fold.import(view) {
            return false;
        }
        self.round = None;
        let member = self.own_zone().and_then(|zone| zone.member(&self.me));
        let last_folded = member.map(|member| member.sequence);
        let has_appended_join = self.pending.is_some() || self.state != State::Outside;
        if self.is_superseded() || (last_folded.is_some() && !has_appended_join) {
            self.depart();
            return true;
        }
        if let Some(last_folded) = last_folded {
            self.pending
                .take_if(|record| record.sequence <= last_folded);
            self.raise_fences(now);
        }
        true
    }

    pub(super) fn own_zone(&self) -> Option<&Zone> {
        self.view().zone(&self.zone)
    }

    pub(super) const fn is_member(&self) -> bool {
        matches!(self.state, State::Joining(_) | State::Active(_))
    }

    fn prepare_append(&mut self, change: Change) -> Result<Record, Error> {
        if self.pending.is_some() {
            return Err(Error::Pending);
        }
        self.sequence += 1;
        let sequence = self.sequence;
        let record = Record { sequence, change };
        self.pending = Some(record.clone());
        Ok(record)
    }

    /// Clears the append in flight once its record is read back.
    fn clear_pending(&mut self, record: &Record) {
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending == record)
        {
            self.pending = None;
        }
    }

    /// Makes this entry a member after its join was folded; `had_zone` tells whether the zone ever had members before.
    fn handle_own_join(&mut self, now: Time, had_zone: bool) {
        // A join that this process did not append belongs to an earlier process with the same incarnation. This one
        // doesn't know which keys it ran.
        if self.pending.is_none() {
            self.depart();
            return;
        }
        let zone = self.own_zone();
        let others = zone.map(|zone| zone.members.iter().map(|member| member.entry.clone()));
        let others: Vec<Entry> = others
            .into_iter()
            .flatten()
            .filter(|entry| *entry != self.me)
            .collect();
        let retired = zone.is_some_and(|zone| zone.retired);
        self.state = if !had_zone {
            // No entry of this zone has ever run a key.
            State::Active(Time::MIN)
        } else if others.is_empty() && !retired {
            // Every earlier member stopped running keys before it appended its leave.
            State::Active(now + self.limit.fence_margin())
        } else {
            State::Joining(now)
        };
        self.fences.set_predecessors(others.into_iter());
    }

    /// Raises the fence for all keys after records were skipped.
    fn raise_fences(&mut self, now: Time) {
        self.fences.clear_predecessors();
        self.state = match self.state {
            State::Outside => State::Joining(now),
            State::Joining(since) => State::Joining(since.max(now)),
            State::Active(fence) => State::Active(fence.max(now + self.limit.fence_margin())),
            State::Departed => State::Departed,
        };
    }

    /// Tells whether the view shows that this incarnation joined and departed, or can no longer join.
    fn is_superseded(&self) -> bool {
        let last_join = self.view().hosts.get(&self.me.host);
        let is_used = last_join.is_some_and(|host| host.incarnation >= self.me.incarnation);
        let is_listed = self
            .own_zone()
            .is_some_and(|zone| zone.member(&self.me).is_some());
        !is_listed && (is_used || self.is_member())
    }

    fn handle_departure(&mut self, now: Time, entry: Entry) {
        if entry == self.me {
            self.successors = self.own_zone().cloned();
            self.depart();
            return;
        }
        if !self.is_member() {
            return;
        }
        let fence = now + self.limit.fence_margin();
        self.fences.add_departure(entry, fence);
        let zone = self.own_zone();
        let is_last = zone.is_some_and(|zone| zone.members.len() == 1 && !zone.retired);
        // Every earlier member stopped running keys before it appended its leave, so no acknowledgement is needed.
        if is_last && matches!(self.state, State::Joining(_)) {
            self.state = State::Active(fence);
        }
    }

    fn depart(&mut self) {
        if let State::Active(fence) = self.state {
            self.last_join_fence = fence;
        }
        self.state = State::Departed;
        self.frozen = true;
        self.pending = None;
        self.round = None;
    }
}
