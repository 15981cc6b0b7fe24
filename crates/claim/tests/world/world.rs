//! The log, the messages, the callers and the steps of a schedule.

use super::{
    Fault, Tally,
    call::Call,
    node::{
        Node,
        Reply, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_claim::{
    lease::*,
    member::*,
    table::*, //
};

pub(super) const STEP: u64 = 250;
const START: u64 = 1_800_000_000_000;
const LAST_CALL: u64 = START + 50_000;
const HEALED: u64 = START + 45_000;
const END: u64 = START + 66_000;
/// Time by which every caller must have an answer, a minute after the last call and the last fault.
const LAST_ANSWER: u64 = START + 110_000;

#[derive(Clone)]
pub(super) enum Mail {
    Log(Time, u64),
    Append(Record),
    Ask(Request),
    Answer(Answer),
    Look(Entry),
    Witness(JoinAck),
    View(View),
    Handover(Handover<Reply>),
    Call(usize, u32),
    Done(Slot, usize, u32),
}

/// One schedule.
pub(crate) struct World {
    pub(super) seed: u64,
    pub(super) fault: Fault,
    pub(super) fenced: bool,
    pub(super) rng: StdRng,
    pub(super) now: u64,
    pub(super) log: Vec<Record>,
    pub(super) log_down_until: u64,
    /// Pairs of nodes that can't reach each other, with the end of the cut.
    pub(super) cuts: Vec<(usize, usize, u64)>,
    pub(super) nodes: Vec<Node>,
    pub(super) mail: Vec<(u64, Option<Entry>, Entry, Mail)>,
    pub(super) calls: Vec<Call>,
    pub(super) tally: Tally,
}

impl World {
    /// Runs one schedule; without `fenced`, the fences are ignored.
    pub(crate) fn run(seed: u64, fault: Fault, fenced: bool) -> Tally {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(2..=4);
        let nodes = (0..count).map(|index| Node::new(index, 1, rng.random_range(-500..=500)));
        let nodes = nodes.collect();
        let mut world = Self {
            seed,
            fault,
            fenced,
            rng,
            now: START,
            log: Vec::new(),
            log_down_until: 0,
            cuts: Vec::new(),
            nodes,
            mail: Vec::new(),
            calls: Vec::new(),
            tally: Tally::default(),
        };
        let first = START + 15_000;
        let faults = match fault {
            Fault::Calm => 0,
            Fault::Rolling => 1,
            _ => world.rng.random_range(1..=4),
        };
        let last = if fault == Fault::Rolling {
            first + 1
        } else {
            HEALED - 5_000
        };
        let mut times: Vec<u64> = (0..faults)
            .map(|_| world.rng.random_range(first..last))
            .collect();
        while world.now < END || (world.now < LAST_ANSWER && world.is_awaited()) {
            let now = world.now;
            times
                .iter()
                .filter(|time| (now..now + STEP).contains(time))
                .for_each(|_| world.strike());
            times.retain(|time| *time >= now + STEP);
            world.step();
        }
        world.finish()
    }

    /// Tells whether a caller has no answer yet, since all messages of its tries were lost.
    fn is_awaited(&self) -> bool {
        self.calls.iter().any(|call| call.last.is_none())
    }

    fn finish(mut self) -> Tally {
        for call in &self.calls {
            self.tally.keys += 1;
            match call.last {
                Some(Outcome::Answered) => self.tally.answered += 1,
                Some(Outcome::NotRun) => self.tally.not_run += 1,
                Some(Outcome::Unknown) => self.tally.unknown += 1,
                None => {
                    self.tally.silent += 1;
                    self.tally
                        .broken
                        .push(format!("no answer: seed {} {:?}", self.seed, self.fault));
                }
            }
        }
        self.tally
    }

    pub(super) fn strike(&mut self) {
        let kind = match self.fault {
            Fault::Mixed => Fault::SINGLE[self.rng.random_range(0..Fault::SINGLE.len())],
            kind => kind,
        };
        let until = (self.now + self.rng.random_range(1_000..25_000)).min(HEALED);
        let (a, b) = (
            self.rng.random_range(0..self.nodes.len()),
            self.rng.random_range(0..self.nodes.len()),
        );
        match kind {
            Fault::Crash => {
                self.nodes[a].up = false;
                self.nodes[a].restart_at = until;
            }
            Fault::Pause => self.nodes[a].paused_until = until,
            Fault::LogCut => self.nodes[a].log_cut_until = until,
            Fault::LogDown => self.log_down_until = until,
            Fault::PeerCut => self.cuts.push((a, b, until)),
            Fault::Leave => self.leave(a),
            Fault::Rolling => (0..self.nodes.len()).for_each(|index| {
                self.nodes[index].leaving_since = Some(self.now + 10_000 * index as u64);
            }),
            Fault::Calm | Fault::Messages | Fault::Mixed => {}
        }
    }

    /// Stops one entry; except in mixed schedules, entries stop one at a time.
    pub(super) fn leave(&mut self, index: usize) {
        let joined = |node: &Node| {
            node.up
                && node.leaving_since.is_none()
                && matches!(node.lease.state(), State::Active(_))
        };
        if self.fault == Fault::Mixed || self.nodes.iter().all(joined) {
            self.nodes[index].leaving_since = Some(self.now);
        }
    }

    pub(super) fn step(&mut self) {
        self.deliver();
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if !node.up && node.restart_at <= self.now {
                let incarnation = node.entry().incarnation + 1;
                *node = Node::new(index, incarnation, node.skew);
            }
            if node.up && node.paused_until <= self.now {
                self.act(index);
            }
        }
        if self.now < LAST_CALL && self.rng.random_bool(0.25) {
            self.call();
        }
        self.retry();
        self.now += STEP;
    }

    /// Sends a message with a delay, and sometimes loses, repeats or overtakes it.
    pub(super) fn send(&mut self, from: Option<Entry>, to: Entry, mail: Mail) {
        let noisy = self.fault == Fault::Messages || self.fault == Fault::Mixed;
        let rate = if noisy { 0.15 } else { 0.01 };
        let local = matches!(mail, Mail::Done(..));
        if !local && self.rng.random_bool(rate) {
            return;
        }
        let copies = if !local && self.rng.random_bool(rate) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let slow = local || self.rng.random_bool(rate);
            let delay = if slow {
                self.rng.random_range(0..4_000)
            } else {
                self.rng.random_range(0..200)
            };
            self.mail
                .push((self.now + delay, from.clone(), to.clone(), mail.clone()));
        }
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let mail = core::mem::take(&mut self.mail).into_iter();
        let (mut due, rest): (Vec<_>, Vec<_>) = mail.partition(|mail| mail.0 <= now);
        self.mail = rest;
        due.sort_by_key(|mail| mail.0);
        for (at, from, to, mail) in due {
            if let Mail::Append(record) = mail {
                self.log.push(record);
                continue;
            }
            let Some(index) = self
                .nodes
                .iter()
                .position(|node| node.up && *node.entry() == to)
            else {
                continue;
            };
            if self.nodes[index].paused_until > now {
                self.mail.push((at, from, to, mail));
                continue;
            }
            if let Some(from) = &from {
                if self.is_cut(from, &to) {
                    continue;
                }
                let heard = self.nodes[index]
                    .heard
                    .entry(from.clone())
                    .or_insert((now, now));
                heard.1 = now;
            }
            self.handle(index, from, mail);
        }
    }

    pub(super) fn is_cut(&self, from: &Entry, to: &Entry) -> bool {
        let host = |index: usize| &self.nodes[index].entry().host;
        let mut cuts = self.cuts.iter().filter(|cut| cut.2 > self.now);
        cuts.any(|&(a, b, _)| {
            (host(a), host(b)) == (&from.host, &to.host)
                || (host(b), host(a)) == (&from.host, &to.host)
        })
    }
}
