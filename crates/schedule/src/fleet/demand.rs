//! How much work a pool is asked to do, and when the next pool's turn comes.

use super::Affinity;
use crate::queue::key;
use core::ops::{
    AddAssign,
    SubAssign, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Resource;
use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::Arc,
};

/// Time over which the rate of submitted work is taken. A shorter one would follow single jobs.
const WINDOW: Duration = Duration::from_millis(800);
/// Weight of the past in the long-run mean, for each second.
const MEMORY: f64 = 0.97;
/// Multiple of the long-run mean above which a pool has its turn.
const HIGH: f64 = 1.8;
/// Share of the long-run mean below which its turn is over.
const LOW: f64 = 0.7;
/// Time before the expected beginning of a turn, less the time of a move, at which its hosts are ordered: a beginning
/// is noticed about 0.5 s late, and a host is listed some time after its move.
const LEAD: Duration = Duration::from_millis(800);
/// Time after the expected beginning for which its hosts are kept.
const GRACE: Duration = Duration::from_millis(1_200);
/// Longest time between the beginnings of two turns that are seen as a sequence.
const SEQUENCE_LIMIT: Duration = Duration::from_secs(60);

/// Work: an amount of each resource times milliseconds, or its rate, an amount of each resource.
#[derive(Clone, Copy, Debug, Default)]
pub struct Amount {
    /// Thousandths of a core.
    pub cpu: f64,
    /// Megabytes.
    pub memory: f64,
    /// Accelerators.
    pub gpu: f64,
}

impl Amount {
    /// Returns an amount of each resource, times `factor`.
    pub fn new(resource: Resource, factor: f64) -> Self {
        Self {
            cpu: resource.cpu as f64 * factor,
            memory: resource.memory as f64 * factor,
            gpu: resource.gpu as f64 * factor,
        }
    }

    /// Returns how many hosts of a size it takes, by the scarcest resource. What no host has does not count.
    pub fn hosts(self, size: Self) -> f64 {
        let share = |amount: f64, whole: f64| if whole > 0.0 { amount / whole } else { 0.0 };
        share(self.cpu, size.cpu)
            .max(share(self.memory, size.memory))
            .max(share(self.gpu, size.gpu))
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Self) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.gpu += other.gpu;
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, other: Self) {
        self.cpu -= other.cpu;
        self.memory -= other.memory;
        self.gpu -= other.gpu;
    }
}

/// What one pool is asked to do.
#[derive(Clone, Debug, Default)]
struct Pool {
    recent: VecDeque<(Time, Amount)>,
    sum: Amount,
    affinity: Affinity,
    mean: f64,
    updated: Option<Time>,
    high: bool,
    /// Hosts that the present turn has needed at most.
    peak: f64,
    /// Hosts that earlier turns needed, if there was one.
    usual: Option<f64>,
    /// Beginning of the latest turn.
    began: Option<Time>,
    /// The pool whose turn followed, and how long after the beginning of this one.
    next: Option<(key::Pool, Duration)>,
}

/// What all pools are asked to do.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    pools: HashMap<key::Pool, Pool>,
    /// The pool whose turn began last.
    turn: Option<(key::Pool, Time)>,
    /// Something was learned that the log lacks.
    pub(crate) unstored: bool,
}

/// What was learned of the demand on one pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lesson {
    pub(crate) pool: key::Pool,
    pub(crate) mean: f64,
    pub(crate) usual: Option<f64>,
    pub(crate) next: Option<(key::Pool, Duration)>,
}

impl Demand {
    /// Returns what was learned, and the pool whose turn began last.
    pub(crate) fn lessons(&self) -> (Vec<Lesson>, Option<(key::Pool, Time)>) {
        let rows = self.pools.iter().map(|(&key, pool)| Lesson {
            pool: key,
            mean: pool.mean,
            usual: pool.usual,
            next: pool.next,
        });
        (rows.collect(), self.turn)
    }

    /// Takes what an earlier leader had learned.
    pub(crate) fn restore(
        &mut self,
        lessons: Vec<Lesson>,
        turn: Option<(key::Pool, Time)>,
        now: Time,
    ) {
        for lesson in lessons {
            let pool = self.pools.entry(lesson.pool).or_default();
            pool.mean = lesson.mean;
            pool.usual = lesson.usual;
            pool.next = lesson.next;
            pool.updated = Some(now);
        }
        self.turn = turn;
    }

    /// Takes work that was submitted for a pool, with the part of its processor time that asks for each label or rack.
    pub fn submit<'a>(
        &mut self,
        pool: key::Pool,
        amount: Amount,
        parts: impl Iterator<Item = (&'a str, f64)>,
        now: Time,
    ) {
        let pool = self.pools.entry(pool).or_default();
        pool.recent.push_back((now, amount));
        pool.sum += amount;
        pool.affinity.note(amount.cpu, parts, now);
    }

    /// Returns the labels and racks that work of a pool asks for, with their shares of all its work.
    pub(crate) fn shares(&self, pool: key::Pool) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let pool = self.pools.get(&pool).into_iter();
        pool.flat_map(|pool| pool.affinity.shares())
    }

    /// Returns what would run at once in a pool if work went on to be submitted as of late.
    pub fn rate(&self, pool: key::Pool) -> Amount {
        let window = WINDOW.as_millis() as f64;
        let rate = |sum: f64| sum.max(0.0) / window;
        self.pools
            .get(&pool)
            .map_or_else(Amount::default, |pool| Amount {
                cpu: rate(pool.sum.cpu),
                memory: rate(pool.sum.memory),
                gpu: rate(pool.sum.gpu),
            })
    }

    /// Takes how many hosts a pool needs now, and notices the beginning and the end of its turn.
    pub fn observe(&mut self, key: key::Pool, hosts: f64, now: Time) {
        let pool = self.pools.entry(key).or_default();
        while let Some(&(at, amount)) = pool.recent.front()
            && at + WINDOW < now
        {
            pool.recent.pop_front();
            pool.sum -= amount;
        }
        if pool.recent.is_empty() {
            pool.sum = Amount::default();
        }
        let rate = pool.sum.cpu / WINDOW.as_millis() as f64;
        let spent = pool.updated.map_or(0.0, |at| now.since(at).as_secs_f64());
        pool.updated = Some(now);
        let keep = MEMORY.powf(spent);
        pool.mean = pool.mean * keep + rate * (1.0 - keep);
        if pool.high {
            pool.peak = pool.peak.max(hosts);
            if rate < pool.mean * LOW {
                pool.high = false;
                let peak = pool.peak;
                pool.usual = Some(pool.usual.map_or(peak, |usual| (usual + peak) / 2.0));
            }
        } else if pool.mean > 0.0 && rate > pool.mean * HIGH && pool.recent.len() > 2 {
            pool.high = true;
            pool.peak = hosts;
            pool.began = Some(now);
            self.begin(key, now);
        }
    }

    /// Notes that the turn of a pool has begun, as the one after the latest other turn.
    fn begin(&mut self, key: key::Pool, now: Time) {
        if let Some((before, at)) = self.turn
            && before != key
            && now.since(at) < SEQUENCE_LIMIT
            && let Some(pool) = self.pools.get_mut(&before)
        {
            pool.next = Some((key, now.since(at)));
        }
        self.turn = Some((key, now));
        self.unstored = true;
    }

    /// Tells whether the sequence of turns is known.
    pub fn is_learned(&self) -> bool {
        let latest = self.turn.and_then(|(pool, _)| self.pools.get(&pool));
        latest.is_some_and(|pool| pool.next.is_some())
    }

    /// Returns the hosts that a pool will need although it does not yet, because its turn comes soon. A move of
    /// a host takes `move_time`.
    pub fn expected(&self, key: key::Pool, move_time: Duration, now: Time) -> Option<f64> {
        let (before, at) = self.turn?;
        let (next, after) = self.pools.get(&before)?.next?;
        let begins = at + after;
        let near = now + move_time + LEAD >= begins && now <= begins + GRACE;
        if next != key || !near {
            return None;
        }
        self.pools.get(&key)?.usual
    }
}
