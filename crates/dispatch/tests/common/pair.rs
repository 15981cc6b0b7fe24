//! Two entries of one zone that exchange reports each second, with callers and upstreams in virtual time.

use super::{
    plan,
    tally::Tally, //
};
use core::cmp::Reverse;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::{
    Subject,
    Value, //
};
use sassafrascrank_dispatch::{
    Arrival, Catalog, Decision, Engine, Snapshot,
    engine::{
        Limit,
        Peer, //
    },
};
use sassafrascrank_route::AttemptResult;
use slotmap::SlotMap;
use std::collections::{
    BTreeMap,
    BinaryHeap,
    HashMap, //
};

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Time for parts to settle before and after work comes.
const SETTLE: Duration = Duration::from_secs(3);

/// Requests of one class of one customer at one entry.
#[derive(Clone, Copy)]
pub(crate) struct Load {
    pub(crate) customer: usize,
    pub(crate) class: u8,
    pub(crate) entry: usize,
    pub(crate) per_second: f64,
    pub(crate) deadline: Duration,
    /// Whether it starts only when the measurement does.
    pub(crate) late: bool,
}

/// A contract whose own queue is long enough for the deadlines of the loads.
fn contract(share: u32) -> Value {
    let rate = (1_000_000, 1_000_000);
    let value = plan::contract(&[("alba", share)], rate, None, false);
    let Value::Contract(contract) = value else {
        return value;
    };
    let mut contract = contract.as_ref().clone();
    for class in &mut contract.classes {
        class.queue_timeout = Duration::from_secs(10);
        class.queue_limit = 1_000;
    }
    Value::Contract(contract.into())
}

type Flow = (usize, u8, usize);

struct Request {
    flow: Flow,
    arrived: Time,
    deadline: Time,
    service: Duration,
}

pub(crate) struct Pair {
    pub(crate) tallies: BTreeMap<Flow, Tally>,
    uncounted: Tally,
    seed: u64,
    /// Arrivals and service times of each flow, so that a flood leaves those of the others as they are.
    random: HashMap<Flow, StdRng>,
    now: Time,
    engines: [Engine; 2],
    snapshot: Snapshot,
    home: availability_zone::Key,
    service: Duration,
    callers: SlotMap<caller::Key, ()>,
    requests: HashMap<caller::Key, Request>,
    /// Ends of attempts: time, entry, caller, service time.
    ends: BinaryHeap<Reverse<(Time, usize, caller::Key, Duration)>>,
    /// Slots used and slots there while something was queued, for each entry and for both.
    used: [(u64, u64); 3],
    /// While every attempt breaks: from, until.
    pub(crate) outage: Option<(Time, Time)>,
    /// First attempts and retries of each customer at each entry, from the start on.
    pub(crate) attempts: BTreeMap<(usize, usize), [u64; 2]>,
    admissions: BTreeMap<(usize, usize), u64>,
    /// Requests that arrive from then on are counted.
    measured: Time,
}

impl Pair {
    pub(crate) fn new(
        seed: u64,
        shares: &[u32],
        upstreams: usize,
        slots: u32,
        service: Duration,
    ) -> Self {
        let mut catalog = Catalog::new();
        let home = catalog.availability_zone(&plan::name("near"));
        let mut values = plan::Values::new();
        values.insert(Subject::Pool(plan::name("alba")), plan::pool(slots));
        for (index, share) in shares.iter().enumerate() {
            let subject = Subject::Customer(plan::name(&format!("c{index}")));
            values.insert(subject, contract(*share));
        }
        let names: Vec<_> = (0..upstreams).map(|index| format!("h{index}")).collect();
        values.extend(names.iter().map(|host| plan::assign(host, "alba")));
        let hosts: Vec<_> = names
            .iter()
            .map(|host| plan::host(host, "near", 1))
            .collect();
        let now = Time::from_millis(1_000_000);
        let snapshot = catalog.snapshot(1, true, values.iter(), &hosts);
        let mut engines = [1, 2].map(|id| Engine::new(home, 1, Limit::default(), id));
        for (engine, peer) in engines.iter_mut().zip([2, 1]) {
            engine.add_peer(now, peer, home);
            engine.apply(now, &snapshot, &mut Vec::new());
        }
        Self {
            tallies: BTreeMap::new(),
            uncounted: Tally::default(),
            seed,
            random: HashMap::new(),
            now,
            engines,
            snapshot,
            home,
            service,
            callers: SlotMap::with_key(),
            requests: HashMap::new(),
            ends: BinaryHeap::new(),
            used: [(0, 0); 3],
            outage: None,
            attempts: BTreeMap::new(),
            admissions: BTreeMap::new(),
            measured: now + 2 * SETTLE,
        }
    }

    /// Breaks every attempt for `span` from `after` the start of the measurement on.
    pub(crate) fn fail(&mut self, after: Duration, span: Duration) {
        let from = self.measured + after;
        self.outage = Some((from, from + span));
    }

    pub(crate) fn run(&mut self, loads: &[Load], span: Duration) {
        let start = self.now + SETTLE;
        let measured = self.measured;
        let stop = measured + span;
        while self.now < stop {
            self.now = self.now + STEP;
            if self.now.as_millis().is_multiple_of(1_000) {
                self.exchange();
            }
            self.finish();
            for load in loads {
                let from = if load.late { measured } else { start };
                if self.now >= from {
                    self.send(load);
                }
            }
            for entry in 0..2 {
                if self.now.as_millis().is_multiple_of(100) {
                    self.engines[entry].follow_targets(self.now);
                }
                self.poll(entry);
            }
            if self.now >= measured {
                self.measure();
            }
        }
        // Requests that have arrived before the stop are still answered.
        while self.engines.iter().any(|engine| engine.pending() > 0) {
            self.now = self.now + STEP;
            self.finish();
            (0..2).for_each(|entry| self.poll(entry));
        }
    }

    /// Requests of a customer that an entry admitted.
    pub(crate) fn admitted(&self, customer: usize, entry: usize) -> u64 {
        self.admissions
            .get(&(customer, entry))
            .copied()
            .unwrap_or(0)
    }

    /// Percent of the slots of each entry in use while something was queued there.
    pub(crate) fn used_own(&self) -> [u64; 2] {
        [self.percent(0), self.percent(1)]
    }

    /// Percent of all slots in use while something was queued anywhere.
    pub(crate) fn used_whole(&self) -> u64 {
        self.percent(2)
    }

    fn percent(&self, place: usize) -> u64 {
        let (used, there) = self.used[place];
        (100 * used).checked_div(there).unwrap_or(100)
    }

    fn exchange(&mut self) {
        let now = self.now;
        let demands = self
            .engines
            .each_mut()
            .map(|engine| engine.report_demand(now));
        for entry in 0..2 {
            let peer = Peer {
                id: [2, 1][entry],
                availability_zone: self.home,
                last_report: now,
                demands: demands[1 - entry].clone(),
            };
            self.engines[entry].update_peer(peer);
            self.engines[entry].set_reported(demands[entry].clone());
        }
        for engine in &mut self.engines {
            engine.divide(now);
        }
    }

    fn send(&mut self, load: &Load) {
        let mean = load.per_second * STEP.as_secs_f64();
        let chance = mean.fract();
        // A whole number of requests in each step and one more by chance, spread like independent callers.
        let random = self.random((load.customer, load.class, load.entry));
        let mut count = u32::from(random.random_bool(chance));
        for _ in 0..2 * (mean as u32) {
            count += u32::from(random.random_bool(0.5));
        }
        for _ in 0..count {
            self.arrive(load);
        }
    }

    fn random(&mut self, flow: Flow) -> &mut StdRng {
        let (customer, class, entry) = flow;
        let number = (customer as u64) << 32 | u64::from(class) << 16 | entry as u64;
        let seed = self.seed ^ number << 8;
        let make = || StdRng::seed_from_u64(seed);
        self.random.entry(flow).or_insert_with(make)
    }

    fn arrive(&mut self, load: &Load) {
        let flow = (load.customer, load.class, load.entry);
        let key = self.callers.insert(());
        let deadline = self.now + load.deadline;
        let arrival = Arrival {
            caller: caller::Handle { thread: 0, key },
            customer: self.snapshot.customers[load.customer].key,
            pool: self.snapshot.pools[0].key,
            class: class::Index(load.class),
            deadline,
            idempotent: true,
        };
        let factor = self.random(flow).random_range(0.5..1.5);
        let service = self.service.mul_f64(factor);
        let result = self.engines[load.entry].arrive(self.now, arrival);
        let tally = self.tally(flow, self.now);
        tally.sent += 1;
        match result {
            Err(_) => tally.refusals.push(Duration::ZERO),
            Ok(()) => {
                *self
                    .admissions
                    .entry((load.customer, load.entry))
                    .or_default() += 1;
                let arrived = self.now;
                self.requests.insert(
                    key,
                    Request {
                        flow,
                        arrived,
                        deadline,
                        service,
                    },
                );
            }
        }
    }

    fn poll(&mut self, entry: usize) {
        let mut decisions = Vec::new();
        self.engines[entry].poll(self.now, &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Forward { caller, retry, .. } => self.start(entry, caller.key, retry),
                Decision::Refuse { caller, .. } => {
                    let request = self.requests.remove(&caller.key).unwrap();
                    let waited = self.now.since(request.arrived);
                    let tally = self.tally(request.flow, request.arrived);
                    tally.refusals.push(waited);
                }
            }
        }
    }

    fn start(&mut self, entry: usize, key: caller::Key, retry: u32) {
        let Request {
            flow,
            arrived,
            service,
            ..
        } = self.requests[&key];
        let waited = self.now.since(arrived);
        let attempts = self.attempts.entry((flow.0, entry)).or_default();
        attempts[usize::from(retry > 0)] += 1;
        if retry == 0 {
            self.tally(flow, arrived).waits.push(waited);
        }
        if self.is_broken() {
            let failed = Duration::ZERO;
            self.ends
                .push(Reverse((self.now + STEP, entry, key, failed)));
            return;
        }
        self.ends
            .push(Reverse((self.now + service, entry, key, service)));
    }

    fn finish(&mut self) {
        while let Some(&Reverse((at, entry, key, service))) = self.ends.peek()
            && at <= self.now
        {
            self.ends.pop();
            if service.is_zero() {
                let caller = caller::Handle { thread: 0, key };
                self.engines[entry].finish(self.now, caller, AttemptResult::Lost);
                continue;
            }
            let request = self.requests.remove(&key).unwrap();
            let tally = self.tally(request.flow, request.arrived);
            tally.answered += u64::from(at <= request.deadline);
            let caller = caller::Handle { thread: 0, key };
            self.engines[entry].finish(self.now, caller, AttemptResult::Answered(service));
        }
    }

    fn is_broken(&self) -> bool {
        let outage = self.outage;
        outage.is_some_and(|(from, until)| (from..until).contains(&self.now))
    }

    /// Returns where a request counts; those from before the measurement count nowhere.
    fn tally(&mut self, flow: Flow, arrived: Time) -> &mut Tally {
        match arrived >= self.measured {
            true => self.tallies.entry(flow).or_default(),
            false => &mut self.uncounted,
        }
    }

    fn measure(&mut self) {
        let all: u64 = self.snapshot.upstreams.len() as u64 * 8;
        let mut running = 0;
        let mut queued = 0;
        for entry in 0..2 {
            let load = self.engines[entry].loads().next().unwrap().1;
            running += u64::from(load.running);
            queued += load.queued;
            if load.queued > 0 {
                self.used[entry].0 += u64::from(load.running.min(load.slots));
                self.used[entry].1 += u64::from(load.slots);
            }
        }
        if queued > 0 {
            self.used[2].0 += running.min(all);
            self.used[2].1 += all;
        }
    }
}
