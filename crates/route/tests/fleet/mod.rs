//! Entries of one zone that exchange reports over a seeded network, each with its own view.

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

pub(crate) const STEP: Duration = Duration::from_millis(5);

/// Time until an entry looks for silent peers if no report comes.
const LOOK: Duration = Duration::from_millis(100);

/// One entry process.
pub(crate) struct Node {
    pub(crate) wanted: u32,
    pub(crate) alive: bool,
    /// Whether its reports reach the others, and theirs reach it.
    pub(crate) connected: bool,
    /// Number of its next reports that are lost on the way to every other entry.
    pub(crate) lose: u32,
    demand: Demand,
    parts: Vec<Quota>,
    targets: Vec<u32>,
    view: Vec<Entry>,
    next_report: Time,
    next_look: Time,
}

impl Node {
    /// Returns the slots that it may use in all.
    pub(crate) fn slots(&self) -> u32 {
        if !self.alive {
            return 0;
        }
        self.parts.iter().map(Quota::slots).sum()
    }
}

/// All entries, with the messages between them.
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Time,
    pub(crate) total: u32,
    zone: availability_zone::Key,
    upstreams: Vec<Upstream>,
    messages: Vec<(Time, usize, Entry)>,
    random: StdRng,
}

impl Fleet {
    /// Makes entries that start at random moments of the first second.
    pub(crate) fn new(seed: u64, entries: usize, upstreams: u64) -> Self {
        let zone = SlotMap::with_key().insert(());
        let make = |row| Upstream {
            id: 1_000 + row,
            availability_zone: zone,
            slots: 8,
        };
        let upstreams: Vec<Upstream> = (0..upstreams).map(make).collect();
        let mut fleet = Self {
            nodes: Vec::new(),
            now: Time::from_millis(1_000_000),
            total: upstreams.iter().map(|upstream| upstream.slots).sum(),
            zone,
            upstreams,
            messages: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        };
        for place in 0..entries {
            let node = fleet.fresh(place);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Replaces a process by a new one that knows no peer.
    pub(crate) fn restart(&mut self, place: usize) {
        let wanted = self.nodes[place].wanted;
        self.nodes[place] = self.fresh(place);
        self.nodes[place].wanted = wanted;
    }

    /// Returns a moment within the coming report interval.
    pub(crate) fn moment(&mut self) -> Time {
        self.now + Duration::from_millis(self.random.random_range(0..1_000))
    }

    /// Runs one step; returns the slots in use and the slots that are promised twice.
    pub(crate) fn step(&mut self) -> (u32, u32) {
        self.now = self.now + STEP;
        self.deliver();
        for place in 0..self.nodes.len() {
            if self.nodes[place].alive {
                self.act(place);
            }
        }
        let alive = || self.nodes.iter().filter(|node| node.alive);
        let used = alive().map(|node| node.wanted.min(node.slots())).sum();
        let rows = self.upstreams.iter().enumerate();
        let twice = rows.map(|(row, upstream)| {
            let promised: u32 = alive().map(|node| node.parts[row].slots()).sum();
            promised.saturating_sub(upstream.slots)
        });
        (used, twice.sum())
    }

    fn fresh(&mut self, place: usize) -> Node {
        let id = place as u64;
        let parts = initial_quotas(id, self.zone, &self.upstreams);
        Node {
            wanted: 0,
            alive: true,
            connected: true,
            lose: 0,
            demand: Demand::new(),
            targets: parts.clone(),
            parts: parts.into_iter().map(Quota::new).collect(),
            view: Vec::new(),
            next_report: self.moment(),
            next_look: Time::MIN,
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
                node.learn(Entry {
                    heard: now,
                    ..entry
                });
            }
            false
        });
    }

    fn act(&mut self, place: usize) {
        let now = self.now;
        let node = &mut self.nodes[place];
        node.demand.record(now, node.wanted);
        if now >= node.next_report {
            node.next_report = node.next_report + REPORT_INTERVAL;
            let demand = node.demand.report(now);
            let entry = Entry {
                id: place as u64,
                availability_zone: self.zone,
                demand,
                spill: 0,
                heard: now,
            };
            node.learn(entry);
            let lost = node.lose > 0 || !node.connected;
            node.lose = node.lose.saturating_sub(1);
            for to in (0..self.nodes.len()).filter(|to| *to != place && !lost) {
                let delay = Duration::from_millis(self.random.random_range(1..10));
                self.messages.push((now + delay, to, entry));
            }
        }
        let node = &mut self.nodes[place];
        if !node.view.is_empty() && now >= node.next_look {
            node.next_look = now + LOOK;
            node.targets = target_quotas(now, place as u64, &node.view, &self.upstreams);
        }
        for (part, target) in node.parts.iter_mut().zip(&node.targets) {
            part.set_target(now, *target);
        }
    }
}

impl Node {
    fn learn(&mut self, entry: Entry) {
        self.view.retain(|known| known.id != entry.id);
        self.view.push(entry);
        self.next_look = Time::MIN;
    }
}
