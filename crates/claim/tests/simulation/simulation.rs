//! One simulated schedule: its log, messages, callers and faults. All times are in milliseconds.

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

/// Simulated time between two steps.
pub(super) const STEP_MS: u64 = 250;
const START_MS: u64 = 1_800_000_000_000;
/// Time after which callers make no new call.
const LAST_CALL_MS: u64 = START_MS + 50_000;
/// Time by which all faults are over.
const FAULTS_END_MS: u64 = START_MS + 45_000;
/// End of the schedule, unless a caller still has no answer.
const END_MS: u64 = START_MS + 66_000;
/// Time by which each caller must have an answer: a minute after the last call and the last fault.
const ANSWER_DEADLINE_MS: u64 = START_MS + 110_000;

/// A message to an entry or to the log, or an event at an entry.
#[derive(Clone)]
pub(super) enum Message {
    /// Result of a log read: when it started, and the last offset.
    LogRead(Time, u64),
    Append(Record),
    ConfirmRequest(Request),
    ConfirmAnswer(Answer),
    /// The entry asks for an acknowledgement of its join.
    SeekJoinAck(Entry),
    JoinAck(JoinAck),
    View(View),
    Handover(Handover<Reply>),
    /// Request of a caller by its index, and how often it was forwarded.
    Call(usize, u32),
    /// End of the attempt of a slot for a caller, with the random number that decides its outcome.
    Ended(Slot, usize, u32),
}

/// One schedule.
pub(crate) struct Simulation {
    pub(super) seed: u64,
    pub(super) fault: Fault,
    pub(super) fenced: bool,
    pub(super) rng: StdRng,
    pub(super) now: u64,
    pub(super) log: Vec<Record>,
    pub(super) log_down_until: u64,
    /// Pairs of nodes that can't reach each other, with the end of the fault.
    pub(super) cuts: Vec<(usize, usize, u64)>,
    pub(super) nodes: Vec<Node>,
    /// Undelivered messages: time of delivery, sender, receiver and message.
    pub(super) in_flight: Vec<(u64, Option<Entry>, Entry, Message)>,
    pub(super) calls: Vec<Call>,
    pub(super) tally: Tally,
}

impl Simulation {
    /// Runs one schedule; without `fenced`, the fences are ignored.
    pub(crate) fn run(seed: u64, fault: Fault, fenced: bool) -> Tally {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(2..=4);
        let nodes = (0..count).map(|index| Node::new(index, 1, rng.random_range(-500..=500)));
        let nodes = nodes.collect();
        let mut simulation = Self {
            seed,
            fault,
            fenced,
            rng,
            now: START_MS,
            log: Vec::new(),
            log_down_until: 0,
            cuts: Vec::new(),
            nodes,
            in_flight: Vec::new(),
            calls: Vec::new(),
            tally: Tally::default(),
        };
        let first = START_MS + 15_000;
        let faults = match fault {
            Fault::None => 0,
            Fault::Rolling => 1,
            _ => simulation.rng.random_range(1..=4),
        };
        let last = if fault == Fault::Rolling {
            first + 1
        } else {
            FAULTS_END_MS - 5_000
        };
        let mut times: Vec<u64> = (0..faults)
            .map(|_| simulation.rng.random_range(first..last))
            .collect();
        while simulation.now < END_MS
            || (simulation.now < ANSWER_DEADLINE_MS && simulation.has_unanswered_caller())
        {
            let now = simulation.now;
            times
                .iter()
                .filter(|time| (now..now + STEP_MS).contains(time))
                .for_each(|_| simulation.inject_fault());
            times.retain(|time| *time >= now + STEP_MS);
            simulation.step();
        }
        simulation.finish()
    }

    /// Tells whether a caller has no answer yet, because all messages of its tries were lost.
    fn has_unanswered_caller(&self) -> bool {
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
                    self.tally.unanswered += 1;
                    self.tally
                        .violations
                        .push(format!("no answer: seed {} {:?}", self.seed, self.fault));
                }
            }
        }
        self.tally
    }

    /// Starts one fault of the kind of this schedule.
    pub(super) fn inject_fault(&mut self) {
        let kind = match self.fault {
            Fault::Mixed => Fault::SINGLE[self.rng.random_range(0..Fault::SINGLE.len())],
            kind => kind,
        };
        let until = (self.now + self.rng.random_range(1_000..25_000)).min(FAULTS_END_MS);
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
            Fault::None | Fault::Messages | Fault::Mixed => {}
        }
    }

    /// Starts the planned stop of one entry; except in mixed schedules, entries stop one at a time.
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
                self.step_entry(index);
            }
        }
        if self.now < LAST_CALL_MS && self.rng.random_bool(0.25) {
            self.call();
        }
        self.retry();
        self.now += STEP_MS;
    }

    /// Sends a message with a delay; it may be lost, repeated or overtaken by a later one.
    pub(super) fn send(&mut self, from: Option<Entry>, to: Entry, message: Message) {
        let noisy = self.fault == Fault::Messages || self.fault == Fault::Mixed;
        let rate = if noisy { 0.15 } else { 0.01 };
        let local = matches!(message, Message::Ended(..));
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
            self.in_flight
                .push((self.now + delay, from.clone(), to.clone(), message.clone()));
        }
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let messages = core::mem::take(&mut self.in_flight).into_iter();
        let (mut due, rest): (Vec<_>, Vec<_>) = messages.partition(|message| message.0 <= now);
        self.in_flight = rest;
        due.sort_by_key(|message| message.0);
        for (at, from, to, message) in due {
            if let Message::Append(record) = message {
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
                self.in_flight.push((at, from, to, message));
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
            self.handle(index, from, message);
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
