//! Simulation of exchange threads, upstreams, peers and configuration changes around one engine, in virtual time.

use super::{
    check::Check,
    config,
    config::Values,
    fixture, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::Subject;
use sassafrascrank_dispatch::{
    Arrival, Catalog, Decision, Engine, Snapshot,
    catalog::Host,
    engine::{
        Demand,
        Limit,
        Peer, //
    },
};
use sassafrascrank_route::{
    AttemptResult,
    DrainSource, //
};
use slotmap::SlotMap;

/// Probabilities of events in percent, for each step of a schedule or each attempt.
#[derive(Clone, Copy, Default)]
pub(crate) struct Profile {
    /// An attempt fails.
    pub(crate) fault: u32,
    /// A caller disconnects.
    pub(crate) cancel: u32,
    /// The configuration or a host changes.
    pub(crate) change: u32,
    /// A sign arrives that an upstream is leaving.
    pub(crate) drain_sign: u32,
    /// No time passes until the next step.
    pub(crate) clock_stall: u32,
}

/// Steps of a schedule in which requests arrive.
const STEPS: u32 = 40;
const TICK: Duration = Duration::from_millis(100);
/// Ticks without arrivals after which every request must have ended.
const IDLE_TICKS: u32 = 40;

pub(crate) struct Simulation {
    pub(crate) random: StdRng,
    pub(crate) profile: Profile,
    pub(crate) now: Time,
    pub(crate) engine: Engine,
    pub(crate) check: Check,
    pub(crate) snapshot: Snapshot,
    catalog: Catalog,
    values: Values,
    hosts: Vec<Host>,
    callers: SlotMap<caller::Key, ()>,
    /// Future ends of running attempts.
    attempt_ends: Vec<(Time, caller::Handle, AttemptResult)>,
    peer_last_report: Option<Time>,
    peer_zone: availability_zone::Key,
    ticks: u32,
}

impl Simulation {
    pub(crate) fn new(seed: u64, profile: Profile) -> Self {
        let mut catalog = Catalog::new();
        let home = catalog.availability_zone(&config::name("near"));
        let limit = Limit {
            tickets: 40,
            ..Limit::default()
        };
        let (values, hosts) = fixture::configuration();
        let mut simulation = Self {
            random: StdRng::seed_from_u64(seed),
            profile,
            now: Time::from_millis(1_000_000),
            engine: Engine::new(home, 2, limit, 1),
            check: Check::new(seed),
            snapshot: Snapshot::default(),
            catalog,
            values,
            hosts,
            callers: SlotMap::with_key(),
            attempt_ends: Vec::new(),
            peer_last_report: None,
            peer_zone: home,
            ticks: 0,
        };
        simulation.apply_configuration();
        for _ in 0..25 {
            simulation.tick();
        }
        simulation
    }

    /// Runs the whole schedule.
    pub(crate) fn run(&mut self) {
        for _ in 0..STEPS {
            self.arrive();
            if self.chance(self.profile.cancel) {
                self.cancel();
            }
            if self.chance(self.profile.drain_sign) {
                self.drain_upstream();
            }
            if self.chance(self.profile.change) {
                self.change_configuration();
            }
            if !self.chance(self.profile.clock_stall) {
                let span = Duration::from_micros(self.random.random_range(0..40_000));
                self.advance(self.now + span);
            }
        }
        for _ in 0..IDLE_TICKS {
            self.tick();
        }
        self.check.check_idle(
            self.engine.pending(),
            self.engine.loads(),
            self.engine.upstreams(),
        );
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Processes all events until `until`; polls the engine only at the times that it asked for.
    fn advance(&mut self, until: Time) {
        loop {
            let end = self.attempt_ends.iter().map(|(at, ..)| *at).min();
            let wakeup = self.engine.next_wakeup();
            let next = end.into_iter().chain(wakeup).min().unwrap_or(until);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            self.finish_due();
            self.poll();
            if next >= until {
                break;
            }
        }
        self.now = until.max(self.now);
    }

    fn tick(&mut self) {
        self.advance(self.now + TICK);
        self.ticks += 1;
        if self.ticks.is_multiple_of(10) {
            self.receive_peer_report();
            let demands = self.engine.report_demand(self.now);
            self.engine.set_reported(demands);
            self.engine.divide(self.now);
            let live = self
                .peer_last_report
                .is_some_and(|at| self.now.since(at) < Duration::from_secs(3));
            self.check.entries = if live { 2 } else { 1 };
        }
        self.engine.follow_targets(self.now);
        self.poll();
    }

    fn finish_due(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .attempt_ends
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, caller, result) in due {
            if self.check.finished(now, caller, result) {
                self.engine.finish(now, caller, result);
            }
        }
    }

    pub(crate) fn poll(&mut self) {
        let mut decisions = Vec::new();
        self.engine.poll(self.now, &mut decisions);
        self.handle_decisions(decisions);
    }

    fn handle_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Refuse { caller, refusal } => {
                    self.check.refused(self.now, caller, refusal)
                }
                Decision::Forward {
                    caller,
                    target,
                    until,
                    retry,
                } => {
                    self.check
                        .forwarded(self.now, caller, target.upstream, retry, &self.snapshot);
                    self.start_attempt(caller, until);
                }
            }
        }
        self.check.check_partition(self.engine.upstreams());
        self.check.check_waits(self.now);
    }

    fn start_attempt(&mut self, caller: caller::Handle, until: Time) {
        let service = Duration::from_millis(self.random.random_range(1..60));
        let early = Duration::from_millis(self.random.random_range(0..3));
        let result = match self.chance(self.profile.fault) {
            false => AttemptResult::Answered(service),
            true => match self.random.random_range(0..6) {
                0 => AttemptResult::Unreachable,
                1 => AttemptResult::Stale,
                2 => AttemptResult::Lost,
                3 => AttemptResult::Failed(early),
                _ => AttemptResult::TimedOut,
            },
        };
        let (at, result) = match result {
            AttemptResult::Answered(span) if self.now + span > until => {
                (until, AttemptResult::TimedOut)
            }
            AttemptResult::Answered(span) => (self.now + span, result),
            AttemptResult::TimedOut => (until, result),
            _ => ((self.now + early).min(until), result),
        };
        self.attempt_ends.push((at, caller, result));
    }

    fn arrive(&mut self) {
        let customers = self.snapshot.customers.len();
        let pools = self.snapshot.pools.len();
        if customers == 0 || pools == 0 {
            return;
        }
        let arrival = Arrival {
            caller: caller::Handle {
                thread: self.random.random_range(0..2),
                key: self.callers.insert(()),
            },
            customer: self.snapshot.customers[self.random.random_range(0..customers)].key,
            pool: self.snapshot.pools[self.random.random_range(0..pools)].key,
            class: class::Index(self.random.random_range(0..2)),
            deadline: self.now + Duration::from_millis(self.random.random_range(1..900)),
            idempotent: self.random.random(),
        };
        let result = self.engine.arrive(self.now, arrival);
        self.check.arrived(self.now, arrival, result);
        self.poll();
    }

    fn cancel(&mut self) {
        let index = self.random.random_range(0..64);
        if let Some(caller) = self.check.cancel(index) {
            self.attempt_ends.retain(|(_, other, _)| *other != caller);
            self.engine.cancel(self.now, caller);
            self.poll();
        }
    }

    fn drain_upstream(&mut self) {
        let sources = [
            DrainSource::Response,
            DrainSource::Connection,
            DrainSource::Peer,
        ];
        let source = sources[self.random.random_range(0..3)];
        let count = self.snapshot.upstreams.len();
        if count > 0 {
            let upstream = self.snapshot.upstreams[self.random.random_range(0..count)].key;
            let first = self.engine.drain_upstream(self.now, upstream, source);
            self.check.drained(upstream, source, first);
        }
    }

    fn receive_peer_report(&mut self) {
        if self.chance(60) {
            let pools: Vec<_> = self.snapshot.pools.iter().map(|pool| pool.key).collect();
            let demand = |pool| Demand {
                pool,
                millislots: self.random.random_range(0..9_000),
                spill_millislots: 0,
            };
            let demands = pools.into_iter().map(demand).collect();
            let (id, last_report) = (2, self.now);
            let availability_zone = self.peer_zone;
            self.engine.update_peer(Peer {
                id,
                availability_zone,
                last_report,
                demands,
            });
            self.peer_last_report = Some(last_report);
        }
    }

    /// Removes or restores a customer, a pool or an assignment, restarts a host, or changes a share.
    fn change_configuration(&mut self) {
        let kind = self.random.random_range(0..5);
        let index = self.random.random_range(0..4);
        let (full, _) = fixture::configuration();
        let subject = match kind {
            0 => fixture::customer(index).0,
            1 => Subject::Pool(config::name(["alba", "brisa"][index % 2])),
            _ => config::assign(["h0", "h1", "h2", "h3"][index], "alba").0,
        };
        if kind == 3 {
            self.hosts[index].incarnation += 1;
        } else if kind == 4 {
            self.change_share();
        } else if self.values.remove(&subject).is_none() {
            self.values.insert(subject.clone(), full[&subject].clone());
        }
        self.check.count(
            [
                "customer changed",
                "pool changed",
                "host moved",
                "host restarted",
                "share changed",
            ][kind],
        );
        self.apply_configuration();
    }

    /// Removes a customer's share of one pool, or restores it.
    fn change_share(&mut self) {
        let (subject, value) = fixture::customer(1);
        let less = config::contract(&[("brisa", 30)], (200, 20), Some(1), true);
        let value = match self.values.get(&subject) {
            Some(present) if *present == value => less,
            _ => value,
        };
        self.values.insert(subject, value);
    }

    fn apply_configuration(&mut self) {
        let version = self.snapshot.version + 1;
        self.snapshot = self
            .catalog
            .snapshot(version, true, self.values.iter(), &self.hosts);
        let mut decisions = Vec::new();
        self.engine.apply(self.now, &self.snapshot, &mut decisions);
        self.handle_decisions(decisions);
        self.poll();
    }
}
