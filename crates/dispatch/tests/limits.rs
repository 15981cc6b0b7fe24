//! Single decisions at contract limits, between availability zones, and after failures of upstreams.

#[path = "common/config.rs"]
mod config;

use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::{
    Subject,
    Value, //
};
use sassafrascrank_dispatch::{
    Arrival,
    Catalog,
    Decision,
    Engine,
    Snapshot,
    engine::Limit, //
};
use sassafrascrank_route::AttemptResult;
use slotmap::SlotMap;

/// One engine with the keys of its configuration.
struct Fixture {
    now: Time,
    engine: Engine,
    snapshot: Snapshot,
    callers: SlotMap<caller::Key, ()>,
}

type Customers<'a> = [(&'a str, Value)];

impl Fixture {
    fn new(customers: &Customers<'_>, hosts: &[(&str, &str, &str)], slots: u32) -> Self {
        let mut catalog = Catalog::new();
        let home = catalog.availability_zone(&config::name("near"));
        let mut values = config::Values::new();
        for (customer, contract) in customers {
            values.insert(Subject::Customer(config::name(customer)), contract.clone());
        }
        let mut list = Vec::new();
        for (host, pool, zone) in hosts {
            values.insert(Subject::Pool(config::name(pool)), config::pool(slots));
            values.extend([config::assign(host, pool)]);
            list.push(config::host(host, zone, 1));
        }
        let mut fixture = Self {
            now: Time::from_millis(1_000_000),
            engine: Engine::new(home, 1, Limit::default(), 1),
            snapshot: catalog.snapshot(1, true, values.iter(), &list),
            callers: SlotMap::with_key(),
        };
        let mut decisions = Vec::new();
        fixture
            .engine
            .apply(fixture.now, &fixture.snapshot, &mut decisions);
        fixture.wait(Duration::from_secs(3));
        fixture
    }

    /// Advances the clock by `span`; the engine reports its demand and divides slots, as in a real entry.
    fn wait(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Duration::from_millis(100);
            let demands = self.engine.report_demand(self.now);
            self.engine.set_reported(demands);
            self.engine.divide(self.now);
        }
    }

    fn arrive(&mut self, customer: usize, pool: &str) -> Result<caller::Handle, Refusal> {
        let caller = caller::Handle {
            thread: 0,
            key: self.callers.insert(()),
        };
        let pool = config::name(pool);
        let found = self.snapshot.pools.iter().find(|entry| entry.name == pool);
        let arrival = Arrival {
            caller,
            customer: self.snapshot.customers[customer].key,
            pool: found.unwrap().key,
            class: class::Index(0),
            deadline: self.now + Duration::from_secs(5),
            idempotent: false,
        };
        self.engine.arrive(self.now, arrival).map(|()| caller)
    }

    fn poll(&mut self) -> Vec<caller::Handle> {
        self.forwards()
            .into_iter()
            .map(|(caller, _)| caller)
            .collect()
    }

    fn forwards(&mut self) -> Vec<(caller::Handle, upstream::Key)> {
        let mut decisions = Vec::new();
        self.engine.poll(self.now, &mut decisions);
        let forwards = decisions.iter().filter_map(|decision| match decision {
            Decision::Forward { caller, target, .. } => Some((*caller, target.upstream)),
            Decision::Refuse { .. } => None,
        });
        forwards.collect()
    }
}

/// Guards against a request that waits in one pool although its customer's request in another pool has ended.
#[test]
fn end_at_the_concurrency_limit_starts_the_other_pools_request() {
    let shares = [("alba", 50), ("brisa", 50)];
    let contract = config::contract(&shares, (100, 100), Some(1), false);
    let hosts = [("h0", "alba", "near"), ("h1", "brisa", "near")];
    let mut fixture = Fixture::new(&[("casa", contract)], &hosts, 4);
    let first = fixture.arrive(0, "alba").unwrap();
    assert_eq!(fixture.poll(), [first]);
    let second = fixture.arrive(0, "brisa").unwrap();
    assert_eq!(fixture.poll(), []);
    let result = AttemptResult::Answered(Duration::from_millis(5));
    fixture.engine.finish(fixture.now, first, result);
    assert_eq!(fixture.poll(), [second]);
}

/// Guards against an ejected sole upstream of a pool that never gets a probe because nothing is queued.
#[test]
fn sole_upstream_returns_after_its_ejection() {
    let contract = config::contract(&[("alba", 50)], (100, 100), None, false);
    let mut fixture = Fixture::new(&[("casa", contract)], &[("h0", "alba", "near")], 4);
    for _ in 0..5 {
        let caller = fixture.arrive(0, "alba").unwrap();
        assert_eq!(fixture.poll(), [caller]);
        fixture
            .engine
            .finish(fixture.now, caller, AttemptResult::Lost);
        fixture.poll();
    }
    let refusal = fixture.arrive(0, "alba").unwrap_err();
    assert_eq!(refusal.reason, Reason::NoUpstream);
    let wakeup = fixture.engine.next_wakeup().unwrap();
    assert_eq!(wakeup, fixture.now + Duration::from_secs(1));
    fixture.now = wakeup;
    fixture.poll();
    let probe = fixture.arrive(0, "alba").unwrap();
    assert_eq!(fixture.poll(), [probe]);
}

/// Guards against a queued request that is not sent as a probe because nothing but time triggers the probe.
#[test]
fn queued_request_becomes_the_probe() {
    let value = config::contract(&[("alba", 50)], (100, 100), None, false);
    let Value::Contract(contract) = value else {
        panic!("not a contract");
    };
    let mut contract = contract.as_ref().clone();
    contract.classes[0].queue_timeout = Duration::from_secs(5);
    let customers = [("casa", Value::Contract(contract.into()))];
    let mut fixture = Fixture::new(&customers, &[("h0", "alba", "near")], 5);
    let running: Vec<_> = (0..5).map(|_| fixture.arrive(0, "alba").unwrap()).collect();
    assert_eq!(fixture.poll(), running);
    let queued = fixture.arrive(0, "alba").unwrap();
    for caller in running {
        fixture
            .engine
            .finish(fixture.now, caller, AttemptResult::Lost);
    }
    assert_eq!(fixture.poll(), []);
    fixture.now = fixture.engine.next_wakeup().unwrap();
    assert_eq!(fixture.poll(), [queued]);
}

/// Guards against the use of slots in other zones that changes the shares of the slots in the home zone.
///
/// Two customers with equal shares have queued requests throughout; only one of them may use the other zone.
#[test]
fn spill_leaves_the_shares_of_the_home_zone_alone() {
    let rate = (100_000, 100_000);
    let spilling = config::contract(&[("alba", 50)], rate, None, true);
    let staying = config::contract(&[("alba", 50)], rate, None, false);
    let hosts = [("h0", "alba", "near"), ("h1", "alba", "far")];
    let customers = [("casa", spilling), ("loma", staying)];
    let mut fixture = Fixture::new(&customers, &hosts, 8);
    let mut callers = [Vec::new(), Vec::new()];
    let near = fixture.snapshot.upstreams[0].key;
    let mut started = [0_u32; 2];
    let mut far = 0_u32;
    let mut running = Vec::new();
    for _ in 0..100 {
        for _ in 0..16 {
            for (customer, callers) in callers.iter_mut().enumerate() {
                callers.extend(fixture.arrive(customer, "alba").ok());
            }
        }
        fixture.wait(Duration::from_millis(100));
        let result = AttemptResult::Answered(Duration::from_millis(100));
        for caller in core::mem::take(&mut running) {
            fixture.engine.finish(fixture.now, caller, result);
        }
        for (caller, upstream) in fixture.forwards() {
            let owner = usize::from(callers[1].contains(&caller));
            far += u32::from(upstream != near);
            started[owner] += u32::from(upstream == near);
            running.push(caller);
        }
    }
    let [spilling, staying] = started;
    insta::assert_snapshot!(format!(
        "near: spilling {spilling}, staying {staying}; far: {far}"
    ));
    // Each gets half of the 8 home slots in at least 99 of the 100 rounds.
    assert!(staying >= 4 * 99, "staying {staying}");
    assert!(spilling >= 4 * 99, "spilling {spilling}");
}

/// Guards against retries that exceed the contracted rate.
#[test]
fn retry_above_the_rate_is_refused() {
    let contract = config::contract(&[("alba", 50)], (1, 1), None, false);
    let mut fixture = Fixture::new(&[("casa", contract)], &[("h0", "alba", "near")], 4);
    let caller = fixture.arrive(0, "alba").unwrap();
    assert_eq!(fixture.poll(), [caller]);
    fixture
        .engine
        .finish(fixture.now, caller, AttemptResult::Unreachable);
    let mut decisions = Vec::new();
    fixture.engine.poll(fixture.now, &mut decisions);
    let refused = decisions.iter().any(|decision| match decision {
        Decision::Refuse { refusal, .. } => refusal.reason == Reason::ConnectFailed,
        Decision::Forward { .. } => false,
    });
    assert!(refused, "{decisions:?}");
    assert_eq!(fixture.engine.pending(), 0);
}
