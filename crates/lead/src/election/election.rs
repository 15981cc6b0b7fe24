//! When an entry claims, and when a leader may order.

use super::{
    Timing,
    timing::OUTRANKS, //
};
use sassafrascrank_base::prelude::*;

/// Low bits of an epoch, which differ between the claims of two entries in the same round.
const ROUND_SHIFT: u32 = 16;

/// Thousandths of a core in a whole one.
const WHOLE: u32 = 1_000;

/// Part of an entry in the leadership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Another entry leads, or none.
    Follower,
    /// A claim is on its way.
    Candidate {
        /// Epoch of the claim.
        epoch: u64,
    },
    /// This entry leads.
    Leader {
        /// Epoch of the claim.
        epoch: u64,
    },
}

/// What an entry does about a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// No claim is due.
    Wait,
    /// A claim is due unless the log holds that of another entry: the log has to be read at once.
    Look,
    /// A claim of this epoch has to be appended.
    Append(u64),
}

/// A record by a leader, as it was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heard {
    /// Epoch of its writer.
    pub epoch: u64,
    /// Processor of the writer in thousandths of a core.
    pub capacity: u32,
    /// The writer gave up its role.
    pub resigned: bool,
    /// The writer is an earlier life of this process.
    pub own_past: bool,
}

/// The seat of the leader, as one entry sees it.
#[derive(Clone, Debug)]
pub struct Seat {
    rules: Timing,
    /// Differs between processes; breaks ties.
    identity: u64,
    /// Processor of this entry in thousandths of a core.
    capacity: u32,
    role: Role,
    heard: Option<Heard>,
    heard_at: Time,
    /// When the latest epoch was first heard.
    led_since: Time,
    /// Start of the current stretch of successful reads.
    reading_since: Option<Time>,
    read_at: Time,
    /// Start of the last confirmed append of this leader.
    confirmed: Time,
    /// Since when a claim is due.
    due: Option<Time>,
    /// Highest epoch of this entry that the log or a runner has rejected.
    rejected: u64,
    /// The entry is ending and doesn't claim.
    retired: bool,
}

impl Seat {
    /// Makes the seat of a process that has read nothing yet.
    pub fn new(rules: Timing, identity: u64, capacity: u32, now: Time) -> Self {
        Self {
            rules,
            identity,
            capacity,
            role: Role::Follower,
            heard: None,
            heard_at: now,
            led_since: now,
            reading_since: None,
            read_at: Time::MIN,
            confirmed: Time::MIN,
            due: None,
            rejected: 0,
            retired: false,
        }
    }

    /// Returns the part of this entry.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the epoch if this entry leads.
    pub fn leading(&self) -> Option<u64> {
        match self.role {
            Role::Leader { epoch } => Some(epoch),
            _ => None,
        }
    }

    /// Returns when the last record of any leader was written, at the least.
    pub fn heard_at(&self) -> Time {
        self.heard_at
    }

    /// Takes the result of a read of the log, which started at `started`.
    pub fn read(&mut self, success: bool, started: Time, now: Time) {
        if !success {
            self.reading_since = None;
        } else {
            self.reading_since.get_or_insert(started);
            self.read_at = now;
        }
    }

    /// Waits from `now` on before a claim, since this entry could not have led before.
    pub fn wait_from(&mut self, now: Time) {
        self.reading_since = self.reading_since.map(|since| since.max(now));
    }

    /// Takes a record by a leader. Returns whether this entry has lost its role.
    pub fn hear(&mut self, heard: Heard, now: Time) -> bool {
        let known = self.heard.map_or(0, |known| known.epoch);
        if heard.epoch < known {
            return false;
        }
        if heard.epoch > known {
            self.led_since = now;
            self.due = None;
        }
        self.heard = Some(heard);
        // After an outage the first records are from before it, as far as is known.
        let away = self.read_at > Time::MIN && now.since(self.read_at) > self.rules.lease;
        self.heard_at = self.heard_at.max(if away { self.read_at } else { now });
        match self.role {
            Role::Leader { epoch } | Role::Candidate { epoch } if heard.epoch > epoch => {
                self.role = Role::Follower;
                true
            }
            _ => false,
        }
    }

    /// Returns whether a claim has to be appended now. Before one, the entry has to look at the log once more.
    pub fn claim(&mut self, now: Time) -> Claim {
        if !self.is_due(now) {
            self.due = None;
            return Claim::Wait;
        }
        match self.due {
            None => {
                self.due = Some(now);
                return Claim::Look;
            }
            Some(due) if now < due + self.rules.look => return Claim::Wait,
            Some(_) => self.due = None,
        }
        let round = self.heard.map_or(0, |heard| heard.epoch >> ROUND_SHIFT) + 1;
        let low = self.identity & ((1 << ROUND_SHIFT) - 1);
        let epoch = (round << ROUND_SHIFT) | low;
        self.role = Role::Candidate { epoch };
        Claim::Append(epoch)
    }

    /// Tells whether nobody leads, or a much smaller entry, for as long as this entry waits.
    fn is_due(&mut self, now: Time) -> bool {
        if self.retired || self.role != Role::Follower {
            return false;
        }
        let Some(since) = self.reading_since else {
            return false;
        };
        if now.since(self.read_at) > self.rules.freshness {
            // A pause of the process, or of the log, is no silence of the leader.
            self.reading_since = None;
            return false;
        }
        let start = since.max(self.heard_at);
        let away = since > self.heard_at + self.rules.lease;
        now >= start + self.patience(away) || self.outranks(since, now)
    }

    /// Takes the confirmation of the claim, whose append started at `started`.
    pub fn claimed(&mut self, epoch: u64, started: Time) {
        if self.role == (Role::Candidate { epoch }) {
            self.role = Role::Leader { epoch };
            self.confirmed = started;
        }
    }

    /// Takes the confirmation of another append of this leader, which started at `started`.
    pub fn confirm(&mut self, started: Time) {
        self.confirmed = self.confirmed.max(started);
    }

    /// Gives up a role or a claim, because the log or a runner knows a higher epoch or the claim failed.
    pub fn step_down(&mut self, now: Time) {
        if let Role::Leader { epoch } | Role::Candidate { epoch } = self.role {
            self.rejected = self.rejected.max(epoch);
        }
        self.role = Role::Follower;
        self.heard_at = self.heard_at.max(now);
    }

    /// Stops claiming, because the process ends. Returns the epoch to resign from.
    pub fn retire(&mut self) -> Option<u64> {
        self.retired = true;
        let epoch = self.leading();
        self.role = Role::Follower;
        epoch
    }

    /// Tells whether a leader may order and renew leases.
    pub fn may_order(&self, now: Time) -> bool {
        self.leading().is_some() && now <= self.confirmed + self.rules.lease
    }

    /// Tells whether a leader has to append a record, although nothing has changed.
    pub fn is_pulse_due(&self, now: Time) -> bool {
        self.leading().is_some() && now >= self.confirmed + self.rules.pulse
    }

    /// Returns the time of silence after which this entry claims. The log was `away` for longer than a tenure.
    fn patience(&self, away: bool) -> Duration {
        let wait = self.stagger() + self.courtesy();
        match self.heard {
            _ if self.is_behind() => self.rules.silence + wait,
            // No other process can lead with the epoch of this process's earlier life.
            Some(heard) if heard.own_past => Duration::ZERO,
            Some(heard) if heard.resigned => wait / 2,
            None => wait + self.deference(),
            Some(_) if away => self.rules.regained + wait,
            Some(_) => self.rules.silence + wait,
        }
    }

    /// Tells whether this entry replaces a leader because it has much more processor. The log has been read `since`.
    fn outranks(&self, since: Time, now: Time) -> bool {
        let settled = since.max(self.led_since) + self.rules.settling + self.stagger();
        now >= settled
            && !self.is_behind()
            && self.heard.is_some_and(|heard| {
                heard.capacity > 0 && self.capacity >= heard.capacity.saturating_mul(OUTRANKS)
            })
    }

    /// Tells whether an epoch above one of this entry exists of which no record was read yet. Its holder is about to
    /// lead, so reasons to claim at once no longer hold.
    fn is_behind(&self) -> bool {
        self.rejected > 0 && self.heard.is_none_or(|heard| heard.epoch <= self.rejected)
    }

    /// Returns the time that this entry leaves to others of the size of the latest leader, if it is much smaller.
    fn courtesy(&self) -> Duration {
        let larger = |heard: Heard| heard.capacity >= self.capacity.saturating_mul(OUTRANKS);
        match self.heard.is_some_and(larger) {
            true => self.rules.courtesy,
            false => Duration::ZERO,
        }
    }

    /// Returns the part of the spread of claims that falls on this entry.
    fn stagger(&self) -> Duration {
        let place = (self.identity >> 48) as f64 / 65_536.0;
        self.rules.stagger.mul_f64(place)
    }

    /// Returns the time for which this entry waits longer than a whole core at the first start.
    fn deference(&self) -> Duration {
        let missing = WHOLE.saturating_sub(self.capacity);
        self.rules.deference * missing / WHOLE
    }
}
