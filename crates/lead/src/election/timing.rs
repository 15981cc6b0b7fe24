//! Durations of the leader election.

use sassafrascrank_base::prelude::*;

/// Durations of the leader election; they have to be the same at all entries of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time without a record of the leader, while reads succeed, after which another entry claims the lead. It has to
    /// cover an append and a read on a slow log, which take about 0.6 s if answers take 60 times as long as usual.
    pub election_timeout: Duration,
    /// Replaces `election_timeout` after the log was unavailable for longer than `lease`. It is shorter, because a live
    /// leader appends as soon as the log is back.
    pub recovery_timeout: Duration,
    /// Time after the start of its last confirmed append for which a leader may send orders and renew the leases of
    /// tasks.
    pub lease: Duration,
    /// Time since its last confirmed append after which a leader appends a record even if nothing has changed.
    pub heartbeat: Duration,
    /// Range over which the claims of different entries are spread, so that they don't claim at the same time.
    pub stagger: Duration,
    /// Largest age of the last successful read at which an entry may claim.
    pub max_read_age: Duration,
    /// Largest age of the last successful read, counted from its beginning, at which an entry may claim. An entry whose
    /// reads take longer could not do the work of a leader.
    pub max_read_delay: Duration,
    /// The same if the present leader is behind the log. It is shorter, so that entries with equally slow reads don't
    /// take the lead from each other.
    pub max_takeover_read_delay: Duration,
    /// Additional delay of an entry at the first start of a deployment, in full without any processor capacity and none
    /// with a whole core. Nothing is served yet, so there is time for the largest entries to claim first.
    pub first_start_delay: Duration,
    /// Time between the last read of the log that is requested before a claim and the claim. It covers a read and the
    /// append of another entry's claim.
    pub refresh_wait: Duration,
    /// Additional delay of an entry with at most half the processor capacity of the latest leader, so that larger
    /// entries claim first.
    pub smaller_entry_delay: Duration,
    /// Time for which a leader has led, as far as this entry has read, before an entry with twice its processor
    /// capacity replaces it.
    pub replace_delay: Duration,
}

/// Multiple of the leader's processor capacity with which another entry replaces it. Leading takes several times the
/// processor time of an entry's other work, and a leader that lacks it delays every start of a task.
pub(super) const REPLACE_RATIO: u32 = 2;

impl Default for Timing {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_millis(1_500),
            recovery_timeout: Duration::from_millis(700),
            lease: Duration::from_millis(2_500),
            heartbeat: Duration::from_millis(400),
            stagger: Duration::from_millis(300),
            max_read_age: Duration::from_millis(700),
            max_read_delay: Duration::from_millis(2_000),
            max_takeover_read_delay: Duration::from_millis(1_000),
            first_start_delay: Duration::from_millis(1_000),
            refresh_wait: Duration::from_millis(25),
            smaller_entry_delay: Duration::from_millis(200),
            replace_delay: Duration::from_millis(1_000),
        }
    }
}
