//! Simulation of the entries of one zone that exchange reports with random delays, each with its own view.

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::partition::{
    Demand,
    Entry,
    Quota,
    REPORT_INTERVAL,
    Upstream,
    initial_quotas,
    target_quotas, //
};
use slotmap::SlotMap;

/// Simulated time between two steps.
pub(crate) const STEP: Duration = Duration::from_millis(5);

/// Time after which an entry checks for silent peers if no report arrives.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// One simulated entry.
pub(crate) struct Node {
    /// Requests that it could run at once.
    pub(crate) wanted: u32,
    pub(crate) alive: bool,
    /// Whether its reports reach the others, and theirs reach it.
    pub(crate) connected: bool,
    /// Number of its next reports that are lost on the way to all other entries.
    pub(crate) reports_to_lose: u32,
    demand: Demand,
    quotas: Vec<Quota>,
    targets: Vec<u32>,
    view: Vec<Entry>,
    next_report: Time,
    next_silence_check: Time,
}

impl Node {
    /// Returns the number of slots that it may use at all upstreams.
    pub(crate) fn slots(&self) -> u32 {
        if !self.alive {
            return 0;
        }
        self.quotas.iter().map(Quota::slots).sum()
    }
}

/// All entries and the reports between them.
pub(crate) struct Simulation {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Time,
    pub(crate) total: u32,
    zone: availability_zone::Key,
    upstreams: Vec<Upstream>,
    /// Reports in flight: time of arrival, index of the receiver and report.
    messages: Vec<(Time, usize, Entry)>,
    random: StdRng,
}

impl Simulation {
    /// Creates entries that send their first reports at random times of the first second.
    pub(crate) fn new(seed: u64, entries: usize, upstreams: u64) -> Self {
        let zone = SlotMap::with_key().insert(());
        let make = |row| Upstream {
            id: 1_000 + row,
            availability_zone: zone,
            slots: 8,
        };
        let upstreams: Vec<Upstream> = (0..upstreams).map(make).collect();
        let mut simulation = Self {
            nodes: Vec::new(),
            now: Time::from_millis(1_000_000),
            total: upstreams.iter().map(|upstream| upstream.slots).sum(),
            zone,
            upstreams,
            messages: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        };
        for index in 0..entries {
            let node = simulation.new_node(index);
            simulation.nodes.push(node);
        }
        simulation
    }

    /// Replaces an entry by a new process that knows no other entry.
    pub(crate) fn restart(&mut self, index: usize) {
        let wanted = self.nodes[index].wanted;
        self.nodes[index] = self.new_node(index);
        self.nodes[index].wanted = wanted;
    }

    /// Returns a random time within the next report interval.
    pub(crate) fn random_time(&mut self) -> Time {
        self.now + Duration::from_millis(self.random.random_range(0..1_000))
    }

    /// Runs one step; returns the number of slots in use and of those assigned to two entries.
    pub(crate) fn step(&mut self) -> (u32, u32) {
        self.now = self.now + STEP;
        self.deliver();
        for index in 0..self.nodes.len() {
            if self.nodes[index].alive {
                self.step_node(index);
            }
        }
        let alive = || self.nodes.iter().filter(|node| node.alive);
        let used = alive().map(|node| node.wanted.min(node.slots())).sum();
        let rows = self.upstreams.iter().enumerate();
        let twice = rows.map(|(row, upstream)| {
            let assigned: u32 = alive().map(|node| node.quotas[row].slots()).sum();
            assigned.saturating_sub(upstream.slots)
        });
        (used, twice.sum())
    }

    fn new_node(&mut self, index: usize) -> Node {
        let id = index as u64;
        let quotas = initial_quotas(id, self.zone, &self.upstreams);
        Node {
            wanted: 0,
            alive: true,
            connected: true,
            reports_to_lose: 0,
            demand: Demand::new(),
            targets: quotas.clone(),
            quotas: quotas.into_iter().map(Quota::new).collect(),
            view: Vec::new(),
            next_report: self.random_time(),
            next_silence_check: Time::MIN,
        }
    }

    fn deliver(&mut self) {
        let (now, nodes) = (self.now, &mut self.nodes);
        self.messages.retain(|&(at, to, entry)| {
            if at > now {
                return true;
            }
            let node = &mut nodes[to];
            if node.alive && node.connected {
                node.record_report(Entry {
                    heard: now,
                    ..entry
                });
            }
            false
        });
    }

    fn step_node(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.demand.record(now, node.wanted);
        if now >= node.next_report {
            node.next_report = node.next_report + REPORT_INTERVAL;
            let demand = node.demand.report(now);
            let entry = Entry {
                id: index as u64,
                availability_zone: self.zone,
                demand,
                spill: 0,
                heard: now,
            };
            node.record_report(entry);
            let lost = node.reports_to_lose > 0 || !node.connected;
            node.reports_to_lose = node.reports_to_lose.saturating_sub(1);
            for to in (0..self.nodes.len()).filter(|to| *to != index && !lost) {
                let delay = Duration::from_millis(self.random.random_range(1..10));
                self.messages.push((now + delay, to, entry));
            }
        }
        let node = &mut self.nodes[index];
        if !node.view.is_empty() && now >= node.next_silence_check {
            node.next_silence_check = now + SILENCE_CHECK_INTERVAL;
            node.targets = target_quotas(now, index as u64, &node.view, &self.upstreams);
        }
        for (quota, target) in node.quotas.iter_mut().zip(&node.targets) {
            quota.set_target(now, *target);
        }
    }
}

impl Node {
    fn record_report(&mut self, entry: Entry) {
        self.view.retain(|known| known.id != entry.id);
        self.view.push(entry);
        self.next_silence_check = Time::MIN;
    }
}
