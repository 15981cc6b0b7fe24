//! Times of the leadership.

use sassafrascrank_base::prelude::*;

/// Times of the leadership; they are equal at all entries of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time without a record of the leader, spent reading, after which another entry claims. It has to cover an
    /// append and a read on a log that is slow: about 0.6 s when its answers take 60 times as long.
    pub silence: Duration,
    /// The same time after the log was away for longer than a tenure: a leader that lives appends as soon as it can.
    pub regained: Duration,
    /// Time after the start of its last confirmed append for which a leader orders and renews leases.
    pub lease: Duration,
    /// Time after which a leader without other records appends one.
    pub pulse: Duration,
    /// Spread of claims, so that entries don't claim at once.
    pub stagger: Duration,
    /// Age of the last successful read up to which the log counts as read.
    pub freshness: Duration,
    /// Time for which an entry without any processor would wait longer than one with a whole core at the first start
    /// of a deployment. Nothing is served yet, so the largest entries can come first.
    pub deference: Duration,
    /// Time between the last look at the log and a claim. It covers a read and the append of another claim.
    pub look: Duration,
    /// Time for which an entry with half the processor of the latest leader waits longer than others.
    pub courtesy: Duration,
    /// Time for which a leader is heard before an entry with twice its processor replaces it.
    pub settling: Duration,
}

/// Multiple of a leader's processor with which an entry replaces it. Leading takes several times the processor that
/// the other duties do, and a leader that is short of it delays every start.
pub(super) const OUTRANKS: u32 = 2;

impl Default for Timing {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(1_500),
            regained: Duration::from_millis(700),
            lease: Duration::from_millis(2_500),
            pulse: Duration::from_millis(400),
            stagger: Duration::from_millis(300),
            freshness: Duration::from_millis(700),
            deference: Duration::from_millis(1_000),
            look: Duration::from_millis(25),
            courtesy: Duration::from_millis(200),
            settling: Duration::from_millis(1_000),
        }
    }
}
