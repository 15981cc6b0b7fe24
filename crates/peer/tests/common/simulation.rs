//! Simulation of rosters that exchange encoded reports in virtual time; it counts the bytes.

use super::{
    name,
    sender, //
};
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::{
    lease,
    member::{
        Change,
        Effect,
        Entry,
        Fold,
        Record, //
    },
};
use sassafrascrank_peer::{
    message::{
        Demand,
        DrainNotice,
        PoolHash, //
        Report,
    },
    roster::{
        Event,
        Key,
        Roster,
        Status, //
    },
    wire::{
        self,
        ConnectionState,
        REPORT_LIMIT, //
    },
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// Virtual time between two steps.
pub(crate) const STEP: Duration = Duration::from_millis(100);

/// Head of a report, as the test `http_heads_have_the_size_of_the_simulation` reads it from a socket.
pub(crate) fn request_head(body: usize) -> String {
    format!("POST /report HTTP/1.1\r\nhost: \r\ncontent-length: {body}\r\n\r\n")
}

/// Head of the HTTP response with a report.
pub(crate) fn answer_head(body: usize) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {body}\r\n\r\n")
}

pub(crate) struct Node {
    pub(crate) roster: Roster,
    pub(crate) status: Status,
    pub(crate) bytes: u64,
    pub(crate) drain_notices: BTreeMap<DrainNotice, Time>,
    pub(crate) live: bool,
    /// When each peer last answered a request for confirmation, and the start of that request.
    pub(crate) confirmed: BTreeMap<Entry, (Time, Time)>,
}

pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) start: Time,
    pub(crate) nodes: Vec<Node>,
    pub(crate) fold: Fold,
    /// Pairs of entries that can't reach each other, the lower index first.
    pub(crate) disconnected: BTreeSet<(usize, usize)>,
    pub(crate) event_lines: Vec<String>,
    /// Entries by the addresses for callers and for peers.
    addresses: BTreeMap<SocketAddr, usize>,
    /// State of both ends of the connection from one entry to another.
    links: BTreeMap<(usize, usize), (ConnectionState, ConnectionState)>,
}

impl Simulation {
    pub(crate) fn new(count: usize, zones: &[&str]) -> Self {
        let now = Time::from_millis(1_800_000_000_000);
        let mut fold = Fold::default();
        for index in 0..count {
            join(&mut fold, index, zones[index % zones.len()]);
        }
        let node = |index: usize| {
            let mut roster = Roster::new(now, sender(index, zones[index % zones.len()]), &[]);
            roster.update_members(now, fold.view(), |member| member.address);
            Node {
                roster,
                status: Status::default(),
                bytes: 0,
                drain_notices: BTreeMap::new(),
                live: true,
                confirmed: BTreeMap::new(),
            }
        };
        let address = |index| {
            let sender = sender(index, "none");
            [(sender.callers, index), (sender.peers, index)]
        };
        Self {
            addresses: (0..count).flat_map(address).collect(),
            now,
            start: now,
            nodes: (0..count).map(node).collect(),
            disconnected: BTreeSet::new(),
            event_lines: Vec::new(),
            links: BTreeMap::new(),
            fold,
        }
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.nodes.len() {
            if !self.nodes[index].live {
                continue;
            }
            for key in self.nodes[index].roster.due(self.now) {
                self.exchange(index, key);
            }
            for event in self.nodes[index].roster.tick(self.now) {
                let line = match event {
                    Event::Lost(entry) => format!("lost {}", entry.host),
                    Event::Found(entry) => format!("found {}", entry.host),
                    Event::Retire(entry) => format!("retire {}", entry.host),
                };
                let seconds = self.now.since(self.start).as_secs();
                self.event_lines
                    .push(format!("{seconds:2} s: entry-{index}: {line}"));
            }
        }
    }

    /// Queues a request for confirmation to each other member of the zone.
    pub(crate) fn request_confirmations(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let me = sender(index, "none").entry;
        let view = self.fold.view();
        let zone = view.zone_of(&me).and_then(|zone| view.zone(zone)).unwrap();
        for member in &zone.members {
            node.roster.queue_request(lease::Request {
                from: me.clone(),
                to: member.entry.clone(),
                revision: node.status.revision,
                start: self.now,
            });
        }
    }

    fn exchange(&mut self, from: usize, key: Key) {
        let address = self.nodes[from].roster.peer(key).unwrap().address();
        let index = self.addresses[&address];
        let to = Some(index).filter(|to| {
            let pair = (from.min(*to), from.max(*to));
            self.nodes[*to].live && !self.disconnected.contains(&pair)
        });
        let now = self.now;
        let node = &mut self.nodes[from];
        let report = node.roster.compose(now, key, &node.status).unwrap();
        let Some(to) = to else {
            node.roster.record_failure(now, key);
            self.links.remove(&(from, index));
            return;
        };
        let (near, far) = self.links.entry((from, to)).or_default();
        let (report, body) = transmit(&report, near, far);
        let mut bytes = request_head(body).len() + body;
        let node = &mut self.nodes[to];
        node.receive(now, &report);
        let back = node.roster.receive(now, &report).unwrap();
        let answer = node.roster.compose(now, back, &node.status).unwrap();
        let (answer, body) = transmit(&answer, far, near);
        bytes += answer_head(body).len() + body;
        let node = &mut self.nodes[from];
        node.receive(now, &answer);
        node.roster.record_success(now, key, &answer);
        for index in [from, to] {
            self.nodes[index].bytes += bytes as u64;
        }
    }
}

/// Encodes and decodes a report, and returns it with its encoded size in bytes.
fn transmit(
    report: &Report,
    near: &mut ConnectionState,
    far: &mut ConnectionState,
) -> (Report, usize) {
    let body = wire::encode(&wire::Report::new(report, near), REPORT_LIMIT).unwrap();
    let wire: wire::Report = wire::decode(&body, REPORT_LIMIT).unwrap();
    (wire.check(far).unwrap(), body.len())
}

impl Node {
    fn receive(&mut self, now: Time, report: &Report) {
        for notice in &report.drain_notices {
            self.drain_notices.entry(notice.clone()).or_insert(now);
        }
        let from = &report.sender.entry;
        if let Some(request) = &report.request {
            let answer = lease::Answer {
                from: request.to.clone(),
                revision: request.revision,
                start: request.start,
                agrees: true,
            };
            self.roster.queue_answer(from, answer);
        }
        if let Some(answer) = &report.answer {
            self.confirmed.insert(from.clone(), (now, answer.start));
        }
    }
}

/// Appends a join to the log.
pub(crate) fn join(fold: &mut Fold, index: usize, zone: &str) {
    let sender = sender(index, zone);
    let change = Change::Join {
        entry: sender.entry,
        zone: sender.zone,
        address: sender.callers,
    };
    let record = Record {
        sequence: 1,
        change,
    };
    let effect = fold.apply(fold.view().offset + 1, &record).unwrap();
    assert!(matches!(effect, Effect::Joined(..)));
}

/// Pseudo-random numbers of a published linear congruential generator; the same seed gives the same numbers.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        let next = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = next.wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Hashes of the names of `count` pools.
pub(crate) fn pools(count: usize) -> Vec<PoolHash> {
    let hash = |pool| PoolHash::of(&name(&format!("pool-{pool}")));
    (0..count).map(hash).collect()
}

/// Random demand for the pools; a fifth of them are busy and the others nearly idle.
pub(crate) fn demands(random: &mut Random, pools: &[PoolHash]) -> Vec<Demand> {
    let demand = |pool: &PoolHash| {
        let busy = random.below(5) == 0;
        let millislots = 125 + random.below(if busy { 40_000 } else { 400 });
        Demand {
            pool: *pool,
            millislots,
            spill_millislots: if random.below(4) == 0 {
                millislots / 2
            } else {
                0
            },
        }
    };
    pools.iter().map(demand).collect()
}
