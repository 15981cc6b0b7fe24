//! How many hosts each pool gets.

use super::Engine;
use crate::{
    fleet::{
        demand::{
            Amount,
            Lesson, //
        },
        host::{
            self,
            Host,
            State,
            Task, //
        },
    },
    queue::key,
    runner::Runner,
    work::{
        StepKey,
        TaskKey, //
    },
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

/// Time between two rounds.
const INTERVAL: Duration = Duration::from_millis(100);
/// Hosts are not filled to the last core, since tasks don't divide evenly.
const FILL: f64 = 0.88;
/// Time without work after which a host goes to another pool that needs it.
const IDLE_LEND: Duration = Duration::from_millis(300);
/// Time without work after which a host is switched off, so that a pause between two tasks does not count.
const IDLE_OFF: Duration = Duration::from_millis(800);
/// Hosts that stay in a pool although it has no work, for the first tasks of a turn, at the least.
const RESERVE: usize = 2;
/// The same as a divisor of the hosts for each pool.
const RESERVE_SHARE: usize = 18;
/// The same as long as the sequence of turns is not known, so that hosts can't be moved ahead of a turn.
const RESERVE_SHARE_UNKNOWN: usize = 6;
/// Hosts that a pool has beyond its need for a label below which other tasks should leave them alone.
const SCARCE: f64 = 1.0;
/// Tasks that wait and are counted at most; beyond it the pool needs all hosts that there are.
const READY_LIMIT: usize = 2_000;

/// What one pool has and needs.
#[derive(Clone, Copy, Debug)]
struct Need {
    pool: key::Pool,
    /// Hosts that work for it or are on their way.
    have: usize,
    /// Hosts that it needs.
    want: usize,
}

impl Engine {
    /// Notes the work of a job that was just submitted.
    pub(super) fn expect_work(&mut self, job: &Job, now: Time) {
        let queue = self.intern_queue(&job.queue, &job.terms);
        let pool = self.queues[queue].pool;
        let steps = job.steps.iter().filter(|step| !step.lasting);
        let work = |step: &Step| {
            let time = step.estimate.as_millis() as f64 * f64::from(step.count);
            Amount::new(step.counted(), time)
        };
        let mut amount = Amount::default();
        for step in steps.clone() {
            amount += work(step);
        }
        let parts = steps.flat_map(|step| {
            let labels = step.label.iter().chain(&step.rack);
            labels.map(move |label| (&**label, work(step).cpu))
        });
        self.fleet.demand.submit(pool, amount, parts, now);
    }

    /// Moves hosts to the pools that need them, and switches off those that nobody needs.
    pub(super) fn balance(&mut self, now: Time) {
        if now < self.fleet.balanced + INTERVAL || self.fleet.hosts.is_empty() {
            return;
        }
        self.fleet.balanced = now;
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
            self.bring_labels(need, now);
        }
        for index in 0..needs.len() {
            while needs[index].have < needs[index].want {
                let Some(host) = self.spare_host(&needs, standby, needs[index], now) else {
                    break;
                };
                let from = self.fleet.hosts[host].pool;
                if let Some(giver) = needs.iter_mut().find(|need| need.pool == from) {
                    giver.have -= 1;
                }
                needs[index].have += 1;
                self.move_host(host, needs[index].pool, now);
            }
        }
        for need in needs {
            self.switch_off(need, standby, now);
        }
    }

    /// Returns a pool whose hosts are switched off.
    fn standby_pool(&self) -> Option<key::Pool> {
        let mut pools = self.pools.iter();
        pools.find(|(_, pool)| pool.standby).map(|(key, _)| key)
    }

    /// Returns what a pool has and needs.
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
        for rank in pool.ready.iter().take(READY_LIMIT) {
            let step = rank.task.step();
            let need = match latest {
                Some((known, need)) if known == step => need,
                _ => self.need_of_waiting(rank.task),
            };
            latest = Some((step, need));
            load += need;
        }
        let incoming = self.fleet.hosts.values().filter(|host| {
            let moving = host.task == Some(Task::Move(key));
            let joining = host.pool == key && host.listed.state != State::Up;
            let unseen = host.pool == key
                && host.task.is_none()
                && host.listed.state == State::Up
                && self.runner_of(host).is_none();
            moving || (joining && !matches!(host.task, Some(Task::Move(_)))) || unseen
        });
        let have = usable + incoming.count();
        let size = self.usual_size(key);
        let present = Amount::new(load, 1.0).hosts(size);
        let soon = self.fleet.demand.rate(key).hosts(size);
        self.fleet.demand.observe(key, present.max(soon), now);
        let demand = &self.fleet.demand;
        let expected = demand.expected(key, self.rules.move_time, now);
        let want = present.max(soon).max(expected.unwrap_or_default()).ceil() as usize;
        Need {
            pool: key,
            have,
            want: want.max(occupied.min(have)) + self.reserve(),
        }
    }

    /// Returns what a task that waits takes of a host; nothing if no host can run it, since more hosts would not help.
    fn need_of_waiting(&self, task: TaskKey) -> Resource {
        let Some(shape) = self.shape(task) else {
            return Resource::default();
        };
        let need = shape.counted();
        let mut hosts = self.fleet.hosts.values();
        let runnable = hosts.any(|host| host.listed.capacity.fits(Resource::default(), need));
        if runnable { need } else { Resource::default() }
    }

    /// Returns what a usual host holds: the mean over the runners of the pool, or over all hosts if it has none.
    fn usual_size(&self, key: key::Pool) -> Amount {
        let runners = self.pools[key].runners.iter();
        let sizes = runners.map(|&runner| self.runners[runner].capacity);
        let mut sizes: Vec<Resource> = sizes.filter(|size| size.cpu > 0).collect();
        if sizes.is_empty() {
            let hosts = self.fleet.hosts.values();
            sizes = hosts.map(|host| host.listed.capacity).collect();
        }
        let mut sum = Resource::default();
        for &size in &sizes {
            sum += size;
        }
        Amount::new(sum, FILL / sizes.len().max(1) as f64)
    }

    /// Returns the hosts that stay in each pool without work.
    fn reserve(&self) -> usize {
        let share = match self.fleet.demand.is_learned() {
            true => RESERVE_SHARE,
            false => RESERVE_SHARE_UNKNOWN,
        };
        let pools = self.pools.values().filter(|pool| !pool.standby).count();
        RESERVE.max(self.fleet.hosts.len() / (pools.max(1) * share))
    }

    /// Brings hosts with labels and racks of which the present work of a pool asks for more than the pool has.
    fn bring_labels(&mut self, need: &mut Need, now: Time) {
        let lacking = self.lacking(*need);
        for &runner in &self.pools[need.pool].runners {
            let runner = &mut self.runners[runner];
            let mut counts = runner.labels.iter().filter_map(|label| lacking.get(label));
            runner.scarce = counts.any(|&count| count > -SCARCE);
        }
        for (label, count) in lacking {
            for _ in 0..count.round().max(0.0) as usize {
                let mut hosts = self.fleet.hosts.iter();
                let free = |(key, host): &(host::Key, &Host)| {
                    host.has_label(&label)
                        && !will_be_in(host, need.pool)
                        && self.is_touchable(*key, now)
                };
                let Some(host) = hosts.find(free).map(|(key, _)| key) else {
                    break;
                };
                need.have += 1;
                self.move_host(host, need.pool, now);
            }
        }
    }

    /// Returns a host that another pool can do without. Hosts with labels and racks that the pool lacks come first, and
    /// hosts that are paid for before those that are not.
    fn spare_host(
        &self,
        needs: &[Need],
        standby: key::Pool,
        short: Need,
        now: Time,
    ) -> Option<host::Key> {
        let lacking = self.lacking(short);
        let surplus = |from: key::Pool| {
            let need = needs.iter().find(|need| need.pool == from);
            need.is_some_and(|need| need.have > need.want)
        };
        let idle = |since: Option<Time>| since.is_some_and(|since| now >= since + IDLE_LEND);
        let mut best: Option<((f64, bool), host::Key)> = None;
        for (key, host) in &self.fleet.hosts {
            let off = host.pool == standby;
            let free = off || (surplus(host.pool) && idle(host.idle));
            if host.pool == short.pool || !free || !self.is_touchable(key, now) {
                continue;
            }
            let rank = (gain(host, &lacking), !off);
            if best.is_none_or(|(most, _)| rank > most) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the labels and racks that the work of a pool asks for, with the number of hosts that the pool lacks of
    /// each, below zero if it has more than that. They are sorted, so that equal states lead to equal moves.
    fn lacking(&self, need: Need) -> BTreeMap<Arc<str>, f64> {
        let shares = self.fleet.demand.shares(need.pool);
        let mut lacking: BTreeMap<Arc<str>, f64> = shares
            .map(|(label, share)| (Arc::clone(label), share * need.want as f64))
            .collect();
        if lacking.is_empty() {
            return lacking;
        }
        let size = self.usual_size(need.pool);
        for (label, load) in self.load_by_label(need.pool) {
            if let Some(count) = lacking.get_mut(label) {
                *count = count.max(load.hosts(size));
            }
        }
        for host in self.fleet.hosts.values() {
            let there = will_be_in(host, need.pool);
            for label in host.listed.labels.iter().filter(|_| there) {
                if let Some(count) = lacking.get_mut(label) {
                    *count -= 1.0;
                }
            }
        }
        lacking
    }

    /// Returns what the tasks of a pool that run or wait take of hosts, by the label and the rack that they ask for.
    fn load_by_label(&self, key: key::Pool) -> HashMap<&str, Amount> {
        let pool = &self.pools[key];
        let runs = pool.runners.iter().flat_map(|&key| &self.runners[key].runs);
        let running = runs.map(|&run| self.runs[run].task);
        let waiting = pool.ready.iter().take(READY_LIMIT).map(|rank| rank.task);
        let mut load: HashMap<&str, Amount> = HashMap::new();
        for shape in running.chain(waiting).filter_map(|task| self.shape(task)) {
            for label in shape.label.iter().chain(&shape.rack) {
                *load.entry(label).or_default() += Amount::new(shape.counted(), 1.0);
            }
        }
        load
    }

    /// Switches off hosts of a pool that have had no work for a while.
    fn switch_off(&mut self, mut need: Need, standby: key::Pool, now: Time) {
        let idle = |since: Option<Time>| since.is_some_and(|since| now >= since + IDLE_OFF);
        let hosts = self.fleet.hosts.iter();
        let hosts = hosts.filter(|(_, host)| host.pool == need.pool && idle(host.idle));
        let mut keys: Vec<host::Key> = hosts.map(|(key, _)| key).collect();
        if need.have > need.want && !keys.is_empty() {
            // Hosts with labels and racks of which the pool has more than it needs go first.
            let lacking = self.lacking(need);
            let gain = |key: &host::Key| gain(&self.fleet.hosts[*key], &lacking);
            keys.sort_by(|one, other| gain(one).total_cmp(&gain(other)));
        }
        for key in keys {
            if need.have <= need.want {
                return;
            }
            if self.is_touchable(key, now) && self.runner_of(&self.fleet.hosts[key]).is_some() {
                need.have -= 1;
                self.move_host(key, standby, now);
            }
        }
    }

    fn move_host(&mut self, key: host::Key, pool: key::Pool, now: Time) {
        self.close_host(key, Task::Move(pool), now);
    }

    /// Takes what the former leader had learned of the demand.
    pub fn restore_demand(&mut self, turns: &record::Turns, now: Time) {
        let mut lessons = Vec::new();
        for turn in &turns.pools {
            let next = turn
                .next
                .as_ref()
                .map(|(pool, after)| (self.intern_pool(pool), *after));
            lessons.push(Lesson {
                pool: self.intern_pool(&turn.pool),
                mean: turn.mean,
                usual: turn.usual,
                next,
            });
        }
        let latest = turns.latest.as_ref();
        let latest = latest.map(|(pool, at)| (self.intern_pool(pool), *at));
        self.fleet.demand.restore(lessons, latest, now);
    }

    /// Returns what was learned of the demand.
    pub(super) fn turns(&self) -> record::Turns {
        let (lessons, latest) = self.fleet.demand.lessons();
        let name = |key: key::Pool| self.pools.get(key).map(|pool| Arc::clone(&pool.name));
        let row = |lesson: Lesson| {
            Some(record::Turn {
                pool: name(lesson.pool)?,
                mean: lesson.mean,
                usual: lesson.usual,
                next: lesson
                    .next
                    .and_then(|(pool, after)| Some((name(pool)?, after))),
            })
        };
        record::Turns {
            epoch: self.epoch,
            pools: lessons.into_iter().filter_map(row).collect(),
            latest: latest.and_then(|(pool, at)| Some((name(pool)?, at))),
        }
    }
}

/// Tells whether a host is in a pool or on its way there.
fn will_be_in(host: &Host, pool: key::Pool) -> bool {
    match host.task {
        Some(Task::Move(to)) => to == pool,
        _ => host.pool == pool,
    }
}

/// Returns how much a pool gains by a host, from the number of hosts that it lacks of each label and rack.
fn gain(host: &Host, lacking: &BTreeMap<Arc<str>, f64>) -> f64 {
    let labels = host.listed.labels.iter();
    labels.filter_map(|label| lacking.get(label)).sum()
}

/// Tells whether a runner works for its pool, or will as soon as it has answered.
fn is_usable(runner: &Runner) -> bool {
    runner.listed && runner.leaves.is_none() && !runner.closing && runner.misses == 0
}
