//! When an entry claims the lead, and for how long a leader may send orders.

use super::{
    Timing,
    timing::REPLACE_RATIO, //
};
use sassafrascrank_base::{
    epoch,
    prelude::*, //
};

/// Capacity of a whole core in thousandths of a core.
const WHOLE_CORE: u32 = 1_000;

/// Role of an entry in the election.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Another entry leads, or none does.
    Follower,
    /// This entry has claimed the lead, and has not read its claim in the log.
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

/// Place of an entry among those that may claim the lead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rank {
    /// The entries don't know of each other. Delays by identity and capacity spread their claims.
    Unknown,
    /// The entries agree on an order.
    Known {
        /// Time by which the entry claims later than the one that is suited best.
        delay: Duration,
        /// Time that the log takes to store a claim, which has to pass between the last read before a claim and the claim.
        settle: Duration,
    },
}

/// What an entry has to do about a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// Nothing; no claim is due yet.
    Wait,
    /// Read the log at once: a claim is due unless another entry has claimed meanwhile.
    Refresh,
    /// Append a claim with this epoch.
    Append(u64),
}

/// Process that wrote a record of a leader, as far as the reader knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Writer {
    /// This process.
    Own,
    /// An earlier incarnation of this entry, which has ended.
    EarlierIncarnation,
    /// Another entry.
    Other,
    /// The record names only its epoch, of which no leader is known.
    Unknown,
}

/// What a record by a leader, read from the log, says about its writer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Epoch of the writer.
    pub epoch: u64,
    /// Processor capacity of the writer in thousandths of a core; 0 if it is unknown.
    pub capacity: u32,
    /// The writer has given up its role.
    pub resigned: bool,
    /// The writer can't read the log in time, and leads only until another entry claims.
    pub behind: bool,
    /// The writer.
    pub writer: Writer,
}

/// State of the leader election at one entry.
#[derive(Clone, Debug)]
pub struct Election {
    timing: Timing,
    /// Differs between processes. It sets the delay within the stagger and the low bits of epochs.
    identity: u64,
    /// Processor capacity of this entry in thousandths of a core.
    capacity: u32,
    role: Role,
    /// Latest record by a leader.
    latest: Option<Observation>,
    /// When a record of a leader was last read, or this entry last stepped down; see [`Self::observed_at`].
    observed_at: Time,
    /// When the latest epoch was first observed.
    leader_since: Time,
    /// Since when the latest leader is behind the log, as far as it was observed.
    behind_since: Option<Time>,
    /// Start of the first of the successful reads since the last long pause.
    reading_since: Option<Time>,
    /// Whether the last read failed.
    read_failed: bool,
    /// End of the last successful read.
    last_read: Time,
    /// Start of the last successful read.
    read_started: Time,
    /// Start of the last confirmed append of this leader.
    confirmed_at: Time,
    /// Since when a claim is due; set when the read before the claim is requested.
    due_since: Option<Time>,
    /// Highest epoch of this entry that the log or a runner has rejected.
    rejected_epoch: u64,
    /// The entry is ending and doesn't claim.
    retired: bool,
}

impl Election {
    /// Creates the state of a process that has read nothing yet.
    pub fn new(timing: Timing, identity: u64, capacity: u32, now: Time) -> Self {
        Self {
            timing,
            identity,
            capacity,
            role: Role::Follower,
            latest: None,
            observed_at: now,
            leader_since: now,
            behind_since: None,
            reading_since: None,
            read_failed: false,
            last_read: Time::MIN,
            read_started: Time::MIN,
            confirmed_at: Time::MIN,
            due_since: None,
            rejected_epoch: 0,
            retired: false,
        }
    }

    /// Returns the role of this entry.
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

    /// Returns when a record of a leader was last read, or this entry last stepped down. Records that are read first
    /// after an outage of the log may have been written before it, so they count from the last read before the outage.
    pub fn observed_at(&self) -> Time {
        self.observed_at
    }

    /// Returns when the last confirmed append of this entry as the leader started.
    pub fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// Records the result of a read of the log that started at `started` and ended at `now`.
    pub fn record_read(&mut self, success: bool, started: Time, now: Time) {
        let failed_before = core::mem::replace(&mut self.read_failed, !success);
        if success {
            // A read continues after the last successful one, so a failure between two that follow soon misses nothing.
            if failed_before && now.since(self.last_read) > self.timing.max_read_age {
                self.reading_since = None;
            }
            self.reading_since.get_or_insert(started);
            self.last_read = now;
            self.read_started = started;
        }
    }

    /// Counts the delay before a claim from `now` on, for an entry that could not have led before.
    pub fn restart_wait(&mut self, now: Time) {
        self.reading_since = self.reading_since.map(|since| since.max(now));
    }

    /// Records what was read of a leader. Returns whether this entry has lost its role or its claim by it: the epoch is
    /// higher, or another process has claimed with the same one.
    pub fn observe(&mut self, observation: Observation, now: Time) -> bool {
        let known = self.latest.map_or(0, |known| known.epoch);
        if observation.epoch < known {
            return false;
        }
        if observation.epoch > known {
            self.leader_since = now;
            self.behind_since = None;
            self.due_since = None;
        }
        self.behind_since = match observation.behind {
            true => self.behind_since.or(Some(now)),
            false => None,
        };
        self.latest = Some(observation);
        // The records that are read first after an outage of the log may have been written before it, so they don't
        // show that the leader is alive.
        let after_outage =
            self.last_read > Time::MIN && now.since(self.last_read) > self.timing.lease;
        self.observed_at = self
            .observed_at
            .max(if after_outage { self.last_read } else { now });
        let lost = match self.role {
            Role::Leader { epoch } | Role::Candidate { epoch } => {
                let other = matches!(
                    observation.writer,
                    Writer::Other | Writer::EarlierIncarnation
                );
                observation.epoch > epoch || (observation.epoch == epoch && other)
            }
            Role::Follower => false,
        };
        if lost {
            self.role = Role::Follower;
        }
        lost
    }

    /// Returns what has to be done about a claim now. Before each claim the log has to be read once more, since another
    /// entry may have claimed.
    pub fn claim(&mut self, rank: Rank, now: Time) -> Claim {
        if !self.is_claim_due(rank, now) {
            self.due_since = None;
            return Claim::Wait;
        }
        match self.due_since {
            None => {
                self.due_since = Some(now);
                return Claim::Refresh;
            }
            Some(since) if now < since + self.refresh_wait(rank) => return Claim::Wait,
            Some(_) => self.due_since = None,
        }
        let latest = self.latest.map(|leader| leader.epoch);
        let epoch = epoch::next(latest, self.identity);
        self.role = Role::Candidate { epoch };
        Claim::Append(epoch)
    }

    /// Tells whether no leader was observed for the delay of this entry, or a leader with much less processor capacity
    /// has led for long enough to be replaced.
    fn is_claim_due(&mut self, rank: Rank, now: Time) -> bool {
        if self.retired || self.role != Role::Follower {
            return false;
        }
        let Some(since) = self.reading_since else {
            return false;
        };
        if now.since(self.last_read) > self.timing.max_read_age {
            // After a pause of this process or of the log, the leader may have written records that were not read yet.
            self.reading_since = None;
            return false;
        }
        if self.read_failed {
            return false;
        }
        let max_delay = match self.behind_since {
            Some(_) => self.timing.max_takeover_read_delay,
            None => self.timing.max_read_delay,
        };
        if now.since(self.read_started) > max_delay && !self.is_leader_silent(now) {
            return false;
        }
        // A leader that is behind goes on appending, so the wait does not begin anew with each of its records.
        let start = since.max(self.behind_since.unwrap_or(self.observed_at));
        let after_outage = since > self.observed_at + self.timing.lease;
        now >= start + self.claim_delay(rank, after_outage) || self.replaces_leader(since, now)
    }

    /// Tells whether the leader has appended nothing for so long that its lease has ended, even if a record takes as long as
    /// the last read to arrive. Then a leader whose reads are slow is better than none, which renews no leases.
    fn is_leader_silent(&self, now: Time) -> bool {
        let read_time = self.last_read.since(self.read_started);
        let longest = self.timing.election_timeout + self.timing.lease + read_time;
        now.since(self.observed_at) > longest
    }

    /// Begins to lead: this entry has read its claim, whose append started at `started`. The answer to the append does
    /// not confirm the claim, since the log gives the same answer if another entry has claimed with the same epoch.
    pub fn claim_confirmed(&mut self, epoch: u64, started: Time) {
        if self.role == (Role::Candidate { epoch }) {
            self.role = Role::Leader { epoch };
            self.confirmed_at = started;
        }
    }

    /// Extends the lease: the log has confirmed another append of this leader, which started at `started`.
    pub fn append_confirmed(&mut self, started: Time) {
        self.confirmed_at = self.confirmed_at.max(started);
    }

    /// Gives up the lead or a claim, because the log or a runner knows a higher epoch or the claim failed.
    pub fn step_down(&mut self, now: Time) {
        if let Role::Leader { epoch } | Role::Candidate { epoch } = self.role {
            self.rejected_epoch = self.rejected_epoch.max(epoch);
        }
        self.role = Role::Follower;
        self.observed_at = self.observed_at.max(now);
    }

    /// Forgets what was read of leaders, because this entry no longer reads their records.
    pub fn forget(&mut self) {
        self.latest = None;
        self.behind_since = None;
        self.reading_since = None;
        self.last_read = Time::MIN;
        self.read_started = Time::MIN;
        self.due_since = None;
    }

    /// Stops claiming, because the process ends. Returns the epoch to resign from if this entry leads. A claim that is
    /// not confirmed stays, so that the entry can resign once it is.
    pub fn retire(&mut self) -> Option<u64> {
        self.retired = true;
        let epoch = self.leading()?;
        self.role = Role::Follower;
        Some(epoch)
    }

    /// Tells whether this entry leads and may send orders and renew the leases of tasks.
    pub fn may_order(&self, now: Time) -> bool {
        self.leading().is_some() && now <= self.confirmed_at + self.timing.lease
    }

    /// Tells whether this entry leads and has to append a record even if nothing has changed.
    pub fn is_heartbeat_due(&self, now: Time) -> bool {
        self.leading().is_some() && now >= self.confirmed_at + self.timing.heartbeat
    }

    /// Returns the time between the last read that is requested before a claim and the claim.
    fn refresh_wait(&self, rank: Rank) -> Duration {
        match rank {
            Rank::Unknown => self.timing.refresh_wait,
            Rank::Known { settle, .. } => self.timing.refresh_wait.max(settle),
        }
    }

    /// Returns the time without a record of a leader after which this entry claims. `after_outage` tells whether the
    /// log was unavailable for longer than a lease.
    fn claim_delay(&self, rank: Rank, after_outage: bool) -> Duration {
        let wait = match rank {
            Rank::Unknown => self.stagger() + self.smaller_entry_delay(),
            Rank::Known { delay, .. } => delay,
        };
        match self.latest {
            _ if self.awaits_higher_epoch() => self.timing.election_timeout + wait,
            // An earlier incarnation of this entry has ended, and no other process can lead with its epoch.
            Some(leader) if leader.writer == Writer::EarlierIncarnation => Duration::ZERO,
            Some(leader) if leader.resigned || leader.behind => match rank {
                Rank::Unknown => wait / 2,
                Rank::Known { .. } => wait,
            },
            None if rank == Rank::Unknown => wait + self.first_start_delay(),
            None => wait,
            Some(_) if after_outage => self.timing.recovery_timeout + wait,
            Some(_) => self.timing.election_timeout + wait,
        }
    }

    /// Tells whether this entry replaces the leader because it has much more processor capacity. Reads of the log have
    /// succeeded since `since`.
    fn replaces_leader(&self, since: Time, now: Time) -> bool {
        let settled = since.max(self.leader_since) + self.timing.replace_delay + self.stagger();
        now >= settled
            && !self.awaits_higher_epoch()
            && self.latest.is_some_and(|leader| {
                leader.capacity > 0
                    && self.capacity >= leader.capacity.saturating_mul(REPLACE_RATIO)
            })
    }

    /// Tells whether an epoch of this entry was rejected in favour of a higher one of which no record was read yet. The
    /// other entry is about to lead, so reasons to claim without the full delay no longer hold.
    fn awaits_higher_epoch(&self) -> bool {
        self.rejected_epoch > 0
            && self
                .latest
                .is_none_or(|leader| leader.epoch <= self.rejected_epoch)
    }

    /// Returns the additional delay of an entry with much less processor capacity than the latest leader.
    fn smaller_entry_delay(&self) -> Duration {
        let larger =
            |leader: Observation| leader.capacity >= self.capacity.saturating_mul(REPLACE_RATIO);
        match self.latest.is_some_and(larger) {
            true => self.timing.smaller_entry_delay,
            false => Duration::ZERO,
        }
    }

    /// Returns the delay of this entry within the range of [`Timing::stagger`].
    fn stagger(&self) -> Duration {
        let fraction = (self.identity >> 48) as f64 / 65_536.0;
        self.timing.stagger.mul_f64(fraction)
    }

    /// Returns the additional delay of an entry with less than a whole core at the first start of a deployment.
    fn first_start_delay(&self) -> Duration {
        let missing = WHOLE_CORE.saturating_sub(self.capacity);
        self.timing.first_start_delay * missing / WHOLE_CORE
    }
}
