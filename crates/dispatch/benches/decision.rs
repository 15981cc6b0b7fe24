//! Time that the engine takes for one request, for a snapshot and for a division of slots.

#[path = "../tests/common/config.rs"]
mod config;

use divan::Bencher;
use sassafrascrank_base::prelude::*;
use sassafrascrank_contract::Subject;
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

fn main() {
    divan::main();
}

/// An engine whose division of slots has settled.
struct Fixture {
    now: Time,
    engine: Engine,
    snapshot: Snapshot,
}

fn snapshot(catalog: &mut Catalog, pools: usize, customers: usize, upstreams: usize) -> Snapshot {
    let mut values = config::Values::new();
    let names: Vec<String> = (0..pools).map(|index| format!("p{index}")).collect();
    let shares: Vec<(&str, u32)> = names.iter().map(|pool| (pool.as_str(), 1)).collect();
    for name in &names {
        values.insert(Subject::Pool(config::name(name)), config::pool(8));
    }
    let contract = config::contract(&shares, (1_000_000, 1_000_000), None, false);
    for index in 0..customers {
        let subject = Subject::Customer(config::name(&format!("c{index}")));
        values.insert(subject, contract.clone());
    }
    let mut hosts = Vec::new();
    for index in 0..upstreams {
        let host = format!("h{index}");
        values.extend([config::assign(&host, &names[index % pools])]);
        hosts.push(config::host(&host, "near", 1));
    }
    catalog.snapshot(1, true, values.iter(), &hosts)
}

fn fixture(pools: usize, customers: usize, upstreams: usize) -> Fixture {
    let mut catalog = Catalog::new();
    let home = catalog.availability_zone(&config::name("near"));
    let mut fixture = Fixture {
        now: Time::from_millis(1_000_000),
        engine: Engine::new(home, 1, Limit::default(), 1),
        snapshot: snapshot(&mut catalog, pools, customers, upstreams),
    };
    fixture
        .engine
        .apply(fixture.now, &fixture.snapshot, &mut Vec::new());
    for _ in 0..3 {
        fixture.now = fixture.now + Duration::from_secs(1);
        fixture.engine.divide(fixture.now);
    }
    fixture
}

/// One request of each customer in turn in one pool: arrive, poll, finish.
#[divan::bench(args = [(10, 50), (100, 50), (1_000, 50), (10, 1_400), (100, 1_400), (1_000, 1_400)])]
fn decision(bencher: Bencher<'_, '_>, (customers, upstreams): (usize, usize)) {
    let mut fixture = fixture(1, customers, upstreams);
    let mut callers: SlotMap<caller::Key, ()> = SlotMap::with_key();
    let mut decisions: Vec<Decision> = Vec::with_capacity(16);
    let mut turn = 0;
    bencher.bench_local(move || {
        turn += 1;
        fixture.now = fixture.now + Duration::from_micros(10);
        let caller = caller::Handle {
            thread: 0,
            key: callers.insert(()),
        };
        let arrival = Arrival {
            caller,
            customer: fixture.snapshot.customers[turn % customers].key,
            pool: fixture.snapshot.pools[0].key,
            class: class::Index(0),
            deadline: fixture.now + Duration::from_secs(1),
            idempotent: true,
        };
        let admitted = fixture.engine.arrive(fixture.now, arrival);
        assert!(admitted.is_ok(), "{admitted:?}");
        decisions.clear();
        fixture.engine.poll(fixture.now, &mut decisions);
        assert_eq!(decisions.len(), 1);
        let result = AttemptResult::Answered(Duration::from_micros(10));
        fixture.engine.finish(fixture.now, caller, result);
        callers.remove(caller.key);
    });
}

/// Applies a snapshot without changes, up to the target size of 199 pools, 100 customers, 1,400 upstreams.
#[divan::bench(args = [(50, 25, 350), (100, 50, 700), (199, 100, 1_400)])]
fn apply(bencher: Bencher<'_, '_>, (pools, customers, upstreams): (usize, usize, usize)) {
    let mut fixture = fixture(pools, customers, upstreams);
    bencher.bench_local(move || {
        let mut decisions = Vec::new();
        fixture
            .engine
            .apply(fixture.now, &fixture.snapshot, &mut decisions);
    });
}

/// The division of slots that an entry makes each second, at the same sizes.
#[divan::bench(args = [(50, 25, 350), (100, 50, 700), (199, 100, 1_400)])]
fn divide(bencher: Bencher<'_, '_>, (pools, customers, upstreams): (usize, usize, usize)) {
    let mut fixture = fixture(pools, customers, upstreams);
    bencher.bench_local(move || fixture.engine.divide(fixture.now));
}
