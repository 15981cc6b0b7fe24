//! Distribution of hosts over the pools.

use super::Engine;
use crate::{
    fleet::{
        Urgency,
        demand::{
            Amount,
            PoolForecast, //
        },
        host::{
            self,
            Host,
            Operation,
            State, //
        },
    },
    job::{
        StepKey,
        TaskKey, //
    },
    queue::key,
    runner::Runner,
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Job,
    Resource,
    Step,
    record, //
};
use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc,
};

/// Time between two rounds of balancing.
const BALANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Part of a host's capacity that tasks are expected to fill. It is below 1, since tasks don't divide hosts evenly.
const TARGET_FILL: f64 = 0.88;
/// Time without runs after which a host may move to another pool that needs it.
const IDLE_BEFORE_LENDING: Duration = Duration::from_millis(300);
/// Time without runs after which a host may be switched off. A short pause between two tasks does not suffice.
const IDLE_BEFORE_SWITCH_OFF: Duration = Duration::from_millis(800);
/// Smallest number of hosts that a pool keeps without work, for the first tasks of a demand peak.
const MIN_RESERVE_HOSTS: usize = 2;
/// Divisor of a pool's even share of all hosts, which yields the number of hosts that it keeps without work.
const RESERVE_DIVISOR: usize = 18;
/// The same divisor while the next peak can't be forecast, so that hosts can't be moved ahead of it.
const RESERVE_DIVISOR_UNKNOWN: usize = 6;
/// Number of hosts with a label that a pool has beyond its need, below which tasks that do not need the label should
/// avoid them.
const SCARCE_MARGIN_HOSTS: f64 = 1.0;
/// Largest number of waiting tasks of a pool that are counted. With more than that, it needs all hosts anyway.
const COUNTED_TASK_LIMIT: usize = 2_000;

/// Hosts that a pool has and needs.
#[derive(Clone, Copy, Debug)]
struct Need {
    pool: key::Pool,
    /// Number of hosts that work for the pool or are moving to it.
    have: usize,
    /// Number of hosts that the pool needs.
    want: usize,
}

impl Engine {
    /// Adds the estimated work of a job that was just submitted to the demand on its pool.
    pub(super) fn record_demand(&mut self, job: &Job, now: Time) {
        let queue = self.intern_queue(&job.queue, &job.policy);
        let pool = self.queues[queue].pool;
        let account = job.account.as_ref();
        let account = account.and_then(|name| self.accounts.get(*self.account_index.get(name)?));
        // Hosts for tasks that have to wait for the cap of their account would stay idle.
        let counts = |step: &&Step| {
            !step.long_running && account.is_none_or(|account| account.admits(step.need))
        };
        let steps = job.steps.iter().filter(counts);
        let estimated_work = |step: &Step| {
            let time = step.estimate.as_millis() as f64 * f64::from(step.count);
            Amount::new(step.reserved(), time)
        };
        let mut amount = Amount::default();
        for step in steps.clone() {
            amount += estimated_work(step);
        }
        let parts = steps.flat_map(|step| {
            let labels = step.label.iter().chain(&step.data_rack);
            labels.map(move |label| (&**label, estimated_work(step).cpu))
        });
        self.fleet.demand.submit(pool, amount, parts, now);
    }

    /// Moves hosts to the pools that need them, and switches off those that no pool needs.
    pub(super) fn balance(&mut self, now: Time) {
        if now < self.fleet.balanced_at + BALANCE_INTERVAL || self.fleet.hosts.is_empty() {
            return;
        }
        self.fleet.balanced_at = now;
        let Some(standby) = self.standby_pool() else {
            return;
        };
        let pools: Vec<key::Pool> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.standby)
            .map(|(key, _)| key)
            .collect();
        let mut needs: Vec<Need> = pools.into_iter().map(|pool| self.need(pool, now)).collect();
        needs.sort_by_key(|need| need.have as i64 - need.want as i64);
        for need in &mut needs {
            self.move_hosts_for_labels(need, now);
        }
        for index in 0..needs.len() {
            let waits = self.startable_tasks(needs[index].pool).next().is_some();
            let urgency = if waits { Urgency::Now } else { Urgency::Soon };
            while needs[index].have < needs[index].want && self.admits_order(urgency) {
                let Some(host) = self.find_spare_host(&needs, standby, needs[index], now) else {
                    break;
                };
                let from = self.fleet.hosts[host].pool;
                if let Some(donor) = needs.iter_mut().find(|need| need.pool == from) {
                    donor.have -= 1;
                }
                needs[index].have += 1;
                self.move_host(host, needs[index].pool, now);
            }
        }
        for need in needs {
            self.switch_off(need, standby, now);
        }
    }

    /// Returns the pool of hosts that are switched off, if there is one.
    fn standby_pool(&self) -> Option<key::Pool> {
        let mut pools = self.pools.iter();
        pools.find(|(_, pool)| pool.standby).map(|(key, _)| key)
    }

    /// Returns the hosts that a pool has and needs, and updates the demand on it.
    fn need(&mut self, key: key::Pool, now: Time) -> Need {
        let pool = &self.pools[key];
        let mut load = Resource::default();
        let mut usable = 0;
        let mut occupied = 0;
        for &runner in &pool.runners {
            let runner = &self.runners[runner];
            load += runner.used;
            usable += usize::from(is_usable(runner));
            occupied += usize::from(is_usable(runner) && !runner.runs.is_empty());
        }
        let mut latest: Option<(StepKey, Resource)> = None;
        for task in self.startable_tasks(key).take(COUNTED_TASK_LIMIT) {
            let step = task.step();
            let need = match latest {
                Some((known, need)) if known == step => need,
                _ => self.need_of_waiting(task),
            };
            latest = Some((step, need));
            load += need;
        }
        let incoming = self.fleet.hosts.values().filter(|host| {
            let moving = host.operation == Some(Operation::Move(key));
            let joining = host.pool == key && host.listed.state != State::Up;
            let unseen = host.pool == key
                && host.operation.is_none()
                && host.listed.state == State::Up
                && self.runner_of(host).is_none();
            moving || (joining && !matches!(host.operation, Some(Operation::Move(_)))) || unseen
        });
        let have = usable + incoming.count();
        let size = self.usual_size(key);
        let present = Amount::new(load, 1.0).hosts(size);
        let soon = self.fleet.demand.rate(key).hosts(size);
        self.fleet.demand.observe(key, present.max(soon), now);
        let demand = &self.fleet.demand;
        let expected = demand.expected_hosts(key, self.rules.move_time, now);
        let want = present.max(soon).max(expected.unwrap_or_default()).ceil() as usize;
        Need {
            pool: key,
            have,
            want: want.max(occupied.min(have)) + self.reserve(),
        }
    }

    /// Returns the resources that a waiting task needs; none if no host can run it, since more hosts would not help.
    fn need_of_waiting(&self, task: TaskKey) -> Resource {
        let Some(spec) = self.step_spec(task) else {
            return Resource::default();
        };
        let need = spec.reserved();
        let mut hosts = self.fleet.hosts.values();
        let runnable = hosts.any(|host| host.listed.capacity.fits(Resource::default(), need));
        if runnable { need } else { Resource::default() }
    }

    /// Returns the usable capacity of an average host: the mean over the runners of the pool, or over all hosts if the
    /// pool has none.
    fn usual_size(&self, key: key::Pool) -> Amount {
        let runners = self.pools[key].runners.iter();
        // An entry of the service list may name no runner, and have any capacity.
        let answered = runners
            .map(|&runner| &self.runners[runner])
            .filter(|runner| runner.fenced);
        let sizes = answered.map(|runner| runner.capacity);
        let mut sizes: Vec<Resource> = sizes.filter(|size| size.cpu > 0).collect();
        if sizes.is_empty() {
            let hosts = self.fleet.hosts.values();
            sizes = hosts.map(|host| host.listed.capacity).collect();
        }
        let mut sum = Resource::default();
        for &size in &sizes {
            sum += size;
        }
        Amount::new(sum, TARGET_FILL / sizes.len().max(1) as f64)
    }

    /// Returns the number of hosts that each pool keeps without work.
    fn reserve(&self) -> usize {
        let divisor = match self.fleet.demand.is_sequence_known() {
            true => RESERVE_DIVISOR,
            false => RESERVE_DIVISOR_UNKNOWN,
        };
        let pools = self.pools.values().filter(|pool| !pool.standby).count();
        MIN_RESERVE_HOSTS.max(self.fleet.hosts.len() / (pools.max(1) * divisor))
    }

    /// Moves hosts to a pool whose work needs more hosts with a label or in a rack than the pool has, and marks runners
    /// whose labels are scarce.
    fn move_hosts_for_labels(&mut self, need: &mut Need, now: Time) {
        let missing_hosts = self.missing_hosts(*need);
        for &runner in &self.pools[need.pool].runners {
            let runner = &mut self.runners[runner];
            let mut counts = runner
                .labels
                .iter()
                .filter_map(|label| missing_hosts.get(label));
            runner.labels_scarce = counts.any(|&count| count > -SCARCE_MARGIN_HOSTS);
        }
        for (label, count) in missing_hosts {
            for _ in 0..count.round().max(0.0) as usize {
                if !self.admits_order(Urgency::Soon) {
                    return;
                }
                let mut hosts = self.fleet.hosts.iter();
                let free = |(key, host): &(host::Key, &Host)| {
                    host.has_label(&label)
                        && !will_be_in(host, need.pool)
                        && self.is_orderable(*key, now)
                };
                let Some(host) = hosts.find(free).map(|(key, _)| key) else {
                    break;
                };
                need.have += 1;
                self.move_host(host, need.pool, now);
            }
        }
    }

    /// Returns a host that another pool can spare. Hosts with labels and racks that the pool lacks are preferred, and
    /// then hosts that are switched on, since they are paid for already.
    fn find_spare_host(
        &self,
        needs: &[Need],
        standby: key::Pool,
        need: Need,
        now: Time,
    ) -> Option<host::Key> {
        let missing_hosts = self.missing_hosts(need);
        let surplus = |from: key::Pool| {
            let donor = needs.iter().find(|donor| donor.pool == from);
            donor.is_some_and(|donor| donor.have > donor.want)
        };
        let idle =
            |since: Option<Time>| since.is_some_and(|since| now >= since + IDLE_BEFORE_LENDING);
        let mut best: Option<((f64, bool), host::Key)> = None;
        for (key, host) in &self.fleet.hosts {
            let off = host.pool == standby;
            let free = off || (surplus(host.pool) && idle(host.idle_since));
            if host.pool == need.pool || !free || !self.is_orderable(key, now) {
                continue;
            }
            let rank = (label_gain(host, &missing_hosts), !off);
            if best.is_none_or(|(most, _)| rank > most) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the labels and racks that the work of a pool needs, with the number of hosts that the pool lacks of
    /// each, which is negative if it has more than it needs. They are sorted, so that equal states lead to equal moves.
    fn missing_hosts(&self, need: Need) -> BTreeMap<Arc<str>, f64> {
        let shares = self.fleet.demand.shares(need.pool);
        let mut missing_hosts: BTreeMap<Arc<str>, f64> = shares
            .map(|(label, share)| (Arc::clone(label), share * need.want as f64))
            .collect();
        if missing_hosts.is_empty() {
            return missing_hosts;
        }
        let size = self.usual_size(need.pool);
        for (label, load) in self.load_by_label(need.pool) {
            if let Some(count) = missing_hosts.get_mut(label) {
                *count = count.max(load.hosts(size));
            }
        }
        for host in self.fleet.hosts.values() {
            let there = will_be_in(host, need.pool);
            for label in host.listed.labels.iter().filter(|_| there) {
                if let Some(count) = missing_hosts.get_mut(label) {
                    *count -= 1.0;
                }
            }
        }
        missing_hosts
    }

    /// Returns the resources that the running and the waiting tasks of a pool need, by the label and the rack that they
    /// require.
    fn load_by_label(&self, key: key::Pool) -> HashMap<&str, Amount> {
        let pool = &self.pools[key];
        let runs = pool.runners.iter().flat_map(|&key| &self.runners[key].runs);
        let running = runs.map(|&run| self.runs[run].task);
        let waiting = self.startable_tasks(key).take(COUNTED_TASK_LIMIT);
        let mut load: HashMap<&str, Amount> = HashMap::new();
        for spec in running
            .chain(waiting)
            .filter_map(|task| self.step_spec(task))
        {
            for label in spec.label.iter().chain(&spec.data_rack) {
                *load.entry(label).or_default() += Amount::new(spec.reserved(), 1.0);
            }
        }
        load
    }

    /// Switches off hosts that a pool does not need and that have had no runs for a while.
    fn switch_off(&mut self, mut need: Need, standby: key::Pool, now: Time) {
        let idle =
            |since: Option<Time>| since.is_some_and(|since| now >= since + IDLE_BEFORE_SWITCH_OFF);
        let hosts = self.fleet.hosts.iter();
        let hosts = hosts.filter(|(_, host)| host.pool == need.pool && idle(host.idle_since));
        let mut keys: Vec<host::Key> = hosts.map(|(key, _)| key).collect();
        if need.have > need.want && !keys.is_empty() {
            // Hosts whose labels and racks the pool needs least are switched off first.
            let missing_hosts = self.missing_hosts(need);
            let gain = |key: &host::Key| label_gain(&self.fleet.hosts[*key], &missing_hosts);
            keys.sort_by(|one, other| gain(one).total_cmp(&gain(other)));
        }
        for key in keys {
            if need.have <= need.want || !self.admits_order(Urgency::Saving) {
                return;
            }
            if self.is_orderable(key, now) && self.runner_of(&self.fleet.hosts[key]).is_some() {
                need.have -= 1;
                self.move_host(key, standby, now);
            }
        }
    }

    fn move_host(&mut self, key: host::Key, pool: key::Pool, now: Time) {
        self.close_host(key, Operation::Move(pool), now);
    }

    /// Restores the demand forecasts of the former leader.
    pub fn restore_demand(&mut self, demand: &record::Demand, now: Time) {
        let mut forecasts = Vec::new();
        for pool_demand in &demand.pools {
            let next_pool = pool_demand
                .next
                .as_ref()
                .map(|(pool, after)| (self.intern_pool(pool), *after));
            forecasts.push(PoolForecast {
                pool: self.intern_pool(&pool_demand.pool),
                mean_rate: pool_demand.mean,
                usual_hosts: pool_demand.usual_hosts,
                next_pool,
            });
        }
        let latest = demand.latest.as_ref();
        let latest = latest.map(|(pool, at)| (self.intern_pool(pool), *at));
        self.fleet.demand.restore(forecasts, latest, now);
    }

    /// Returns the record of the demand forecasts.
    pub(super) fn demand_record(&self) -> record::Demand {
        let (forecasts, latest) = self.fleet.demand.forecasts();
        let name = |key: key::Pool| self.pools.get(key).map(|pool| Arc::clone(&pool.name));
        let row = |forecast: PoolForecast| {
            Some(record::PoolDemand {
                pool: name(forecast.pool)?,
                mean: forecast.mean_rate,
                usual_hosts: forecast.usual_hosts,
                next: forecast
                    .next_pool
                    .and_then(|(pool, after)| Some((name(pool)?, after))),
            })
        };
        record::Demand {
            epoch: self.epoch,
            pools: forecasts.into_iter().filter_map(row).collect(),
            latest: latest.and_then(|(pool, at)| Some((name(pool)?, at))),
        }
    }
}

/// Returns whether a host is in a pool or moving there.
fn will_be_in(host: &Host, pool: key::Pool) -> bool {
    match host.operation {
        Some(Operation::Move(to)) => to == pool,
        _ => host.pool == pool,
    }
}

/// Returns how much a pool would gain by a host: the sum of the numbers of hosts that it lacks of the host's labels and
/// rack.
fn label_gain(host: &Host, missing_hosts: &BTreeMap<Arc<str>, f64>) -> f64 {
    let labels = host.listed.labels.iter();
    labels.filter_map(|label| missing_hosts.get(label)).sum()
}

/// Returns whether a runner works for its pool, or will once it has answered.
fn is_usable(runner: &Runner) -> bool {
    runner.listed && runner.leaves_at.is_none() && !runner.closing && runner.misses == 0
}
