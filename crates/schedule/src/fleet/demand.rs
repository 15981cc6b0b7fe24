//! Demand on the pools, and a forecast of which pool's demand peaks next.

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

/// Time over which the rate of submitted work is taken. Over a shorter time, single jobs would decide it.
const RATE_WINDOW: Duration = Duration::from_millis(800);
/// Factor by which past work loses weight in the long-run mean each second.
const MEAN_DECAY_PER_SECOND: f64 = 0.97;
/// Multiple of the long-run mean above which a demand peak begins.
const PEAK_START_RATIO: f64 = 1.8;
/// Multiple of the long-run mean below which a demand peak ends.
const PEAK_END_RATIO: f64 = 0.7;
/// Time by which hosts are moved ahead of an expected peak, beyond the time of the move itself: the beginning of a peak
/// is noticed about 0.5 s late, and a host is listed some time after its move.
const PREPARE_AHEAD: Duration = Duration::from_millis(800);
/// Time after the expected beginning of a peak for which its hosts are kept.
const HOLD_AFTER_START: Duration = Duration::from_millis(1_200);
/// Longest time between the beginnings of two peaks that count as a sequence.
const SEQUENCE_GAP_LIMIT: Duration = Duration::from_secs(60);

/// Amount of work: of each resource, an amount times milliseconds; or the rate of work, which is an amount of each
/// resource.
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
    /// Returns the amount of each resource, multiplied by `factor`.
    pub fn new(resource: Resource, factor: f64) -> Self {
        Self {
            cpu: resource.cpu as f64 * factor,
            memory: resource.memory as f64 * factor,
            gpu: resource.gpu as f64 * factor,
        }
    }

    /// Returns the number of hosts of `size` that the amount takes, by the scarcest resource. Resources that the hosts
    /// lack do not count.
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

/// Demand on one pool.
#[derive(Clone, Debug, Default)]
struct Pool {
    /// Work that was submitted within [`RATE_WINDOW`].
    recent: VecDeque<(Time, Amount)>,
    /// Sum of the recent work.
    sum: Amount,
    affinity: Affinity,
    /// Long-run mean of the rate of submitted work, in thousandths of a core.
    mean_rate: f64,
    /// When the mean was last updated.
    updated: Option<Time>,
    /// Whether a demand peak is going on.
    in_peak: bool,
    /// Largest number of hosts that the present peak has needed.
    peak_hosts: f64,
    /// Usual number of hosts that earlier peaks needed; `None` before the end of the first one.
    usual_hosts: Option<f64>,
    /// Beginning of the latest peak.
    peak_began: Option<Time>,
    /// The pool whose peak came next, and the time from the beginning of this peak to the beginning of that one.
    next_pool: Option<(key::Pool, Duration)>,
}

/// Demand on all pools.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    pools: HashMap<key::Pool, Pool>,
    /// The pool whose peak began last, and when.
    latest_peak: Option<(key::Pool, Time)>,
    /// Whether the log lacks the latest forecasts.
    pub(crate) unstored: bool,
}

/// Forecast of the demand on one pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolForecast {
    pub(crate) pool: key::Pool,
    pub(crate) mean_rate: f64,
    pub(crate) usual_hosts: Option<f64>,
    pub(crate) next_pool: Option<(key::Pool, Duration)>,
}

impl Demand {
    /// Returns the forecasts, and the pool whose peak began last.
    pub(crate) fn forecasts(&self) -> (Vec<PoolForecast>, Option<(key::Pool, Time)>) {
        let rows = self.pools.iter().map(|(&key, pool)| PoolForecast {
            pool: key,
            mean_rate: pool.mean_rate,
            usual_hosts: pool.usual_hosts,
            next_pool: pool.next_pool,
        });
        (rows.collect(), self.latest_peak)
    }

    /// Restores the forecasts of an earlier leader.
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

    /// Records work that was submitted for a pool, and the part of its processor time that requires each label or rack.
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

    /// Returns the labels and racks that the work of a pool requires, with their shares of all its work.
    pub(crate) fn shares(&self, pool: key::Pool) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let pool = self.pools.get(&pool).into_iter();
        pool.flat_map(|pool| pool.affinity.shares())
    }

    /// Returns the load of a pool if work continues to be submitted at the recent rate.
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

    /// Records how many hosts a pool needs now, and detects the beginning and the end of its demand peaks.
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

    /// Records that a peak of a pool has begun, as the successor of the latest peak of another pool.
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

    /// Returns whether the pool that peaks after the present one is known.
    pub fn is_sequence_known(&self) -> bool {
        let latest = self.latest_peak.and_then(|(pool, _)| self.pools.get(&pool));
        latest.is_some_and(|pool| pool.next_pool.is_some())
    }

    /// Returns the number of hosts that a pool needs for a peak that is expected soon, or `None` if none is. A move of
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
