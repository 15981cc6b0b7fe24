//! Driver that plays exchange threads, upstreams, peers and configuration against one engine in virtual time.

use super::{
    check::Check,
    plan,
    plan::Values,
    small, //
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

/// Chances of events in percent.
#[derive(Clone, Copy, Default)]
pub(crate) struct Profile {
    pub(crate) fault: u32,
    pub(crate) cancel: u32,
    pub(crate) change: u32,
    pub(crate) sign: u32,
    pub(crate) still: u32,
}

/// Steps of a schedule that bring new work.
const STEPS: u32 = 40;
const TICK: Duration = Duration::from_millis(100);
/// Ticks without new work after which every request must have ended.
const REST_TICKS: u32 = 40;

pub(crate) struct World {
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
    /// Ends of attempts to come.
    ends: Vec<(Time, caller::Handle, AttemptResult)>,
    peer_heard: Option<Time>,
    peer_zone: availability_zone::Key,
    ticks: u32,
}

impl World {
    pub(crate) fn new(seed: u64, profile: Profile) -> Self {
        let mut catalog = Catalog::new();
        let home = catalog.availability_zone(&plan::name("near"));
        let limit = Limit {
            tickets: 40,
            ..Limit::default()
        };
        let (values, hosts) = small::small();
        let mut world = Self {
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
            ends: Vec::new(),
            peer_heard: None,
            peer_zone: home,
            ticks: 0,
        };
        world.configure();
        for _ in 0..25 {
            world.tick();
        }
        world
    }

    /// Plays the whole schedule.
    pub(crate) fn run(&mut self) {
        for _ in 0..STEPS {
            self.arrive();
            if self.chance(self.profile.cancel) {
                self.cancel();
            }
            if self.chance(self.profile.sign) {
                self.sign();
            }
            if self.chance(self.profile.change) {
                self.change();
            }
            if !self.chance(self.profile.still) {
                let span = Duration::from_micros(self.random.random_range(0..40_000));
                self.advance(self.now + span);
            }
        }
        for _ in 0..REST_TICKS {
            self.tick();
        }
        self.check.rest(
            self.engine.pending(),
            self.engine.loads(),
            self.engine.upstreams(),
        );
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Plays everything that is due until `until`, waking the engine only when it asked for it.
    fn advance(&mut self, until: Time) {
        loop {
            let end = self.ends.iter().map(|(at, ..)| *at).min();
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
            self.hear();
            let demands = self.engine.report_demand(self.now);
            self.engine.set_reported(demands);
            self.engine.divide(self.now);
            let live = self
                .peer_heard
                .is_some_and(|at| self.now.since(at) < Duration::from_secs(3));
            self.check.entries = if live { 2 } else { 1 };
        }
        self.engine.follow_targets(self.now);
        self.poll();
    }

    fn finish_due(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.ends.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, caller, report) in due {
            if self.check.finished(now, caller, report) {
                self.engine.finish(now, caller, report);
            }
        }
    }

    pub(crate) fn poll(&mut self) {
        let mut decisions = Vec::new();
        self.engine.poll(self.now, &mut decisions);
        self.take(decisions);
    }

    fn take(&mut self, decisions: Vec<Decision>) {
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
                    self.attempt(caller, until);
                }
            }
        }
        self.check.partition(self.engine.upstreams());
        self.check.waits(self.now);
    }

    fn attempt(&mut self, caller: caller::Handle, until: Time) {
        let service = Duration::from_millis(self.random.random_range(1..60));
        let early = Duration::from_millis(self.random.random_range(0..3));
        let report = match self.chance(self.profile.fault) {
            false => AttemptResult::Answered(service),
            true => match self.random.random_range(0..6) {
                0 => AttemptResult::Unreachable,
                1 => AttemptResult::Stale,
                2 => AttemptResult::Lost,
                3 => AttemptResult::Failed(early),
                _ => AttemptResult::TimedOut,
            },
        };
        let (at, report) = match report {
            AttemptResult::Answered(span) if self.now + span > until => {
                (until, AttemptResult::TimedOut)
            }
            AttemptResult::Answered(span) => (self.now + span, report),
            AttemptResult::TimedOut => (until, report),
            _ => ((self.now + early).min(until), report),
        };
        self.ends.push((at, caller, report));
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
        let place = self.random.random_range(0..64);
        if let Some(caller) = self.check.cancel(place) {
            self.ends.retain(|(_, other, _)| *other != caller);
            self.engine.cancel(self.now, caller);
            self.poll();
        }
    }

    fn sign(&mut self) {
        let signs = [
            DrainSource::Response,
            DrainSource::Connection,
            DrainSource::Peer,
        ];
        let sign = signs[self.random.random_range(0..3)];
        let count = self.snapshot.upstreams.len();
        if count > 0 {
            let upstream = self.snapshot.upstreams[self.random.random_range(0..count)].key;
            let first = self.engine.drain_upstream(self.now, upstream, sign);
            self.check.drained(upstream, sign, first);
        }
    }

    fn hear(&mut self) {
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
            self.peer_heard = Some(last_report);
        }
    }

    /// Removes or brings back a customer, a pool, or an upstream.
    fn change(&mut self) {
        let kind = self.random.random_range(0..5);
        let index = self.random.random_range(0..4);
        let (full, _) = small::small();
        let subject = match kind {
            0 => small::customer(index).0,
            1 => Subject::Pool(plan::name(["alba", "brisa"][index % 2])),
            _ => plan::assign(["h0", "h1", "h2", "h3"][index], "alba").0,
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
        self.configure();
    }

    /// Takes the share of one pool from a customer, or gives it back.
    fn change_share(&mut self) {
        let (subject, value) = small::customer(1);
        let less = plan::contract(&[("brisa", 30)], (200, 20), Some(1), true);
        let value = match self.values.get(&subject) {
            Some(present) if *present == value => less,
            _ => value,
        };
        self.values.insert(subject, value);
    }

    fn configure(&mut self) {
        let version = self.snapshot.version + 1;
        self.snapshot = self
            .catalog
            .snapshot(version, true, self.values.iter(), &self.hosts);
        let mut decisions = Vec::new();
        self.engine.apply(self.now, &self.snapshot, &mut decisions);
        self.take(decisions);
        self.poll();
    }
}
