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
const RATE_WINDOW: Duration = Duration::from_millis(800);
/// Weight of the past in the long-run mean, for each second.
const MEAN_DECAY_PER_SECOND: f64 = 0.97;
/// Multiple of the long-run mean above which a pool has its turn.
const PEAK_START_RATIO: f64 = 1.8;
/// Share of the long-run mean below which its turn is over.
const PEAK_END_RATIO: f64 = 0.7;
/// Time before the expected beginning of a turn, less the time of a move, at which its hosts are ordered: a beginning
/// is noticed about 0.5 s late, and a host is listed some time after its move.
const PREPARE_AHEAD: Duration = Duration::from_millis(800);
/// Time after the expected beginning for which its hosts are kept.
const HOLD_AFTER_START: Duration = Duration::from_millis(1_200);
/// Longest time between the beginnings of two turns that are seen as a sequence.
const SEQUENCE_GAP_LIMIT: Duration = Duration::from_secs(60);

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
    mean_rate: f64,
    updated: Option<Time>,
    in_peak: bool,
    /// Hosts that the present turn has needed at most.
    peak_hosts: f64,
    /// Hosts that earlier turns needed, if there was one.
    usual_hosts: Option<f64>,
    /// Beginning of the latest turn.
    peak_began: Option<Time>,
    /// The pool whose turn followed, and how long after the beginning of this one.
    next_pool: Option<(key::Pool, Duration)>,
}

/// What all pools are asked to do.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    pools: HashMap<key::Pool, Pool>,
    /// The pool whose turn began last.
    latest_peak: Option<(key::Pool, Time)>,
    /// Something was learned that the log lacks.
    pub(crate) unstored: bool,
}

/// What was learned of the demand on one pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolForecast {
    pub(crate) pool: key::Pool,
    pub(crate) mean_rate: f64,
    pub(crate) usual_hosts: Option<f64>,
    pub(crate) next_pool: Option<(key::Pool, Duration)>,
}

impl Demand {
    /// Returns what was learned, and the pool whose turn began last.
    pub(crate) fn forecasts(&self) -> (Vec<PoolForecast>, Option<(key::Pool, Time)>) {
        let rows = self.pools.iter().map(|(&key, pool)| PoolForecast {
            pool: key,
            mean_rate: pool.mean_rate,
            usual_hosts: pool.usual_hosts,
            next_pool: pool.next_pool,
        });
        (rows.collect(), self.latest_peak)
    }

    /// Takes what an earlier leader had learned.
    pub(crate) fn restore(
        &mut self,
        forecasts: Vec<PoolForecast>,
        latest_peak: Option<(key::Pool, Time)>,
        now: Time,
    ) {
        for forecast in forecasts {
            let pool = self.pools.entry(forecast.pool).or_default();
            pool.mean_rate = forecast.mean_rate;
            pool.usual_hosts = forecast.usual_hosts;
            pool.next_pool = forecast.next_pool;
            pool.updated = Some(now);
        }
        self.latest_peak = latest_peak;
    }

    /// Takes work that was submitted for a pool, with the part of its processor time that asks for each label or rack.
    pub fn submit<'a>(
        &mut self,
        pool: key::Pool,
        amount: Amount,
        label_parts: impl Iterator<Item = (&'a str, f64)>,
        now: Time,
    ) {
        let pool = self.pools.entry(pool).or_default();
        pool.recent.push_back((now, amount));
        pool.sum += amount;
        pool.affinity.record(amount.cpu, label_parts, now);
    }

    /// Returns the labels and racks that work of a pool asks for, with their shares of all its work.
    pub(crate) fn shares(&self, pool: key::Pool) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let pool = self.pools.get(&pool).into_iter();
        pool.flat_map(|pool| pool.affinity.shares())
    }

    /// Returns what would run at once in a pool if work went on to be submitted as of late.
    pub fn rate(&self, pool: key::Pool) -> Amount {
        let window = RATE_WINDOW.as_millis() as f64;
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
            && at + RATE_WINDOW < now
        {
            pool.recent.pop_front();
            pool.sum -= amount;
        }
        if pool.recent.is_empty() {
            pool.sum = Amount::default();
        }
        let rate = pool.sum.cpu / RATE_WINDOW.as_millis() as f64;
        let spent = pool.updated.map_or(0.0, |at| now.since(at).as_secs_f64());
        pool.updated = Some(now);
        let decay = MEAN_DECAY_PER_SECOND.powf(spent);
        pool.mean_rate = pool.mean_rate * decay + rate * (1.0 - decay);
        if pool.in_peak {
            pool.peak_hosts = pool.peak_hosts.max(hosts);
            if rate < pool.mean_rate * PEAK_END_RATIO {
                pool.in_peak = false;
                let peak_hosts = pool.peak_hosts;
                pool.usual_hosts = Some(
                    pool.usual_hosts
                        .map_or(peak_hosts, |usual_hosts| (usual_hosts + peak_hosts) / 2.0),
                );
            }
        } else if pool.mean_rate > 0.0
            && rate > pool.mean_rate * PEAK_START_RATIO
            && pool.recent.len() > 2
        {
            pool.in_peak = true;
            pool.peak_hosts = hosts;
            pool.peak_began = Some(now);
            self.begin_peak(key, now);
        }
    }

    /// Notes that the turn of a pool has begun, as the one after the latest other turn.
    fn begin_peak(&mut self, key: key::Pool, now: Time) {
        if let Some((previous, at)) = self.latest_peak
            && previous != key
            && now.since(at) < SEQUENCE_GAP_LIMIT
            && let Some(pool) = self.pools.get_mut(&previous)
        {
            pool.next_pool = Some((key, now.since(at)));
        }
        self.latest_peak = Some((key, now));
        self.unstored = true;
    }

    /// Tells whether the sequence of turns is known.
    pub fn is_sequence_known(&self) -> bool {
        let latest = self.latest_peak.and_then(|(pool, _)| self.pools.get(&pool));
        latest.is_some_and(|pool| pool.next_pool.is_some())
    }

    /// Returns the hosts that a pool will need although it does not yet, because its turn comes soon. A move of
    /// a host takes `move_time`.
    pub fn expected_hosts(&self, key: key::Pool, move_time: Duration, now: Time) -> Option<f64> {
        let (previous, at) = self.latest_peak?;
        let (next_pool, after) = self.pools.get(&previous)?.next_pool?;
        let begins = at + after;
        let near = now + move_time + PREPARE_AHEAD >= begins && now <= begins + HOLD_AFTER_START;
        if next_pool != key || !near {
            return None;
        }
        self.pools.get(&key)?.usual_hosts
    }
}
