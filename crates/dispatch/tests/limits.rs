//! Single decisions at the limits of contracts, zones and health.

#[path = "common/plan.rs"]
mod plan;

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

/// One engine with the names of its configuration.
struct Bench {
    now: Time,
    engine: Engine,
    snapshot: Snapshot,
    callers: SlotMap<caller::Key, ()>,
}

type Customers<'a> = [(&'a str, Value)];

impl Bench {
    fn new(customers: &Customers<'_>, hosts: &[(&str, &str, &str)], slots: u32) -> Self {
        let mut catalog = Catalog::new();
        let home = catalog.availability_zone(&plan::name("near"));
        let mut values = plan::Values::new();
        for (customer, contract) in customers {
            values.insert(Subject::Customer(plan::name(customer)), contract.clone());
        }
        let mut list = Vec::new();
        for (host, pool, zone) in hosts {
            values.insert(Subject::Pool(plan::name(pool)), plan::pool(slots));
            values.extend([plan::assign(host, pool)]);
            list.push(plan::host(host, zone, 1));
        }
        let mut bench = Self {
            now: Time::from_millis(1_000_000),
            engine: Engine::new(home, 1, Limit::default(), 1),
            snapshot: catalog.snapshot(1, true, values.iter(), &list),
            callers: SlotMap::with_key(),
        };
        let mut decisions = Vec::new();
        bench
            .engine
            .apply(bench.now, &bench.snapshot, &mut decisions);
        bench.wait(Duration::from_secs(3));
        bench
    }

    /// Lets parts and probes follow; the engine reports its demand like a real entry.
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
        let pool = plan::name(pool);
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
    let contract = plan::contract(&shares, (100, 100), Some(1), false);
    let hosts = [("h0", "alba", "near"), ("h1", "brisa", "near")];
    let mut bench = Bench::new(&[("casa", contract)], &hosts, 4);
    let first = bench.arrive(0, "alba").unwrap();
    assert_eq!(bench.poll(), [first]);
    let second = bench.arrive(0, "brisa").unwrap();
    assert_eq!(bench.poll(), []);
    let report = AttemptResult::Answered(Duration::from_millis(5));
    bench.engine.finish(bench.now, first, report);
    assert_eq!(bench.poll(), [second]);
}

/// Guards against a pool whose only upstream is ejected and never gets its probe, because nothing is queued.
#[test]
fn sole_upstream_returns_after_its_ejection() {
    let contract = plan::contract(&[("alba", 50)], (100, 100), None, false);
    let mut bench = Bench::new(&[("casa", contract)], &[("h0", "alba", "near")], 4);
    for _ in 0..5 {
        let caller = bench.arrive(0, "alba").unwrap();
        assert_eq!(bench.poll(), [caller]);
        bench.engine.finish(bench.now, caller, AttemptResult::Lost);
        bench.poll();
    }
    let refusal = bench.arrive(0, "alba").unwrap_err();
    assert_eq!(refusal.reason, Reason::NoUpstream);
    let wakeup = bench.engine.next_wakeup().unwrap();
    assert_eq!(wakeup, bench.now + Duration::from_secs(1));
    bench.now = wakeup;
    bench.poll();
    let probe = bench.arrive(0, "alba").unwrap();
    assert_eq!(bench.poll(), [probe]);
}

/// Guards against a queued request that is not sent as a probe when one is due, because nothing else happens.
#[test]
fn queued_request_becomes_the_probe() {
    let value = plan::contract(&[("alba", 50)], (100, 100), None, false);
    let Value::Contract(contract) = value else {
        panic!("not a contract");
    };
    let mut contract = contract.as_ref().clone();
    contract.classes[0].queue_timeout = Duration::from_secs(5);
    let customers = [("casa", Value::Contract(contract.into()))];
    let mut bench = Bench::new(&customers, &[("h0", "alba", "near")], 5);
    let running: Vec<_> = (0..5).map(|_| bench.arrive(0, "alba").unwrap()).collect();
    assert_eq!(bench.poll(), running);
    let queued = bench.arrive(0, "alba").unwrap();
    for caller in running {
        bench.engine.finish(bench.now, caller, AttemptResult::Lost);
    }
    assert_eq!(bench.poll(), []);
    bench.now = bench.engine.next_wakeup().unwrap();
    assert_eq!(bench.poll(), [queued]);
}

/// Guards against slots of other zones that change how the slots of the home zone are shared.
///
/// Of two customers with equal shares, one may use the other zone. Both are backlogged throughout.
#[test]
fn spill_leaves_the_shares_of_the_home_zone_alone() {
    let rate = (100_000, 100_000);
    let spilling = plan::contract(&[("alba", 50)], rate, None, true);
    let staying = plan::contract(&[("alba", 50)], rate, None, false);
    let hosts = [("h0", "alba", "near"), ("h1", "alba", "far")];
    let customers = [("casa", spilling), ("loma", staying)];
    let mut bench = Bench::new(&customers, &hosts, 8);
    let mut callers = [Vec::new(), Vec::new()];
    let near = bench.snapshot.upstreams[0].key;
    let mut started = [0_u32; 2];
    let mut abroad = 0_u32;
    let mut running = Vec::new();
    for _ in 0..100 {
        for _ in 0..16 {
            for (customer, callers) in callers.iter_mut().enumerate() {
                callers.extend(bench.arrive(customer, "alba").ok());
            }
        }
        bench.wait(Duration::from_millis(100));
        let report = AttemptResult::Answered(Duration::from_millis(100));
        for caller in core::mem::take(&mut running) {
            bench.engine.finish(bench.now, caller, report);
        }
        for (caller, upstream) in bench.forwards() {
            let owner = usize::from(callers[1].contains(&caller));
            abroad += u32::from(upstream != near);
            started[owner] += u32::from(upstream == near);
            running.push(caller);
        }
    }
    let [spilling, staying] = started;
    insta::assert_snapshot!(format!(
        "near: spilling {spilling}, staying {staying}; far: {abroad}"
    ));
    // Half of the 8 home slots for 100 rounds, and no more than one round less.
    assert!(staying >= 4 * 99, "staying {staying}");
    assert!(spilling >= 4 * 99, "spilling {spilling}");
}

/// Guards against retries that pass the rate of the contract.
#[test]
fn retry_above_the_rate_is_refused() {
    let contract = plan::contract(&[("alba", 50)], (1, 1), None, false);
    let mut bench = Bench::new(&[("casa", contract)], &[("h0", "alba", "near")], 4);
    let caller = bench.arrive(0, "alba").unwrap();
    assert_eq!(bench.poll(), [caller]);
    bench
        .engine
        .finish(bench.now, caller, AttemptResult::Unreachable);
    let mut decisions = Vec::new();
    bench.engine.poll(bench.now, &mut decisions);
    let refused = decisions.iter().any(|decision| match decision {
        Decision::Refuse { refusal, .. } => refusal.reason == Reason::ConnectFailed,
        Decision::Forward { .. } => false,
    });
    assert!(refused, "{decisions:?}");
    assert_eq!(bench.engine.pending(), 0);
}
