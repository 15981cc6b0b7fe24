//! Cost of one request through the engine, and of a snapshot and a division at the target size.

#[path = "../tests/common/plan.rs"]
mod plan;

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

/// An engine whose parts have settled.
struct Bench {
    now: Time,
    engine: Engine,
    snapshot: Snapshot,
}

fn snapshot(catalog: &mut Catalog, pools: usize, customers: usize, upstreams: usize) -> Snapshot {
    let mut values = plan::Values::new();
    let names: Vec<String> = (0..pools).map(|index| format!("p{index}")).collect();
    let shares: Vec<(&str, u32)> = names.iter().map(|pool| (pool.as_str(), 1)).collect();
    for name in &names {
        values.insert(Subject::Pool(plan::name(name)), plan::pool(8));
    }
    let contract = plan::contract(&shares, (1_000_000, 1_000_000), None, false);
    for index in 0..customers {
        let subject = Subject::Customer(plan::name(&format!("c{index}")));
        values.insert(subject, contract.clone());
    }
    let mut hosts = Vec::new();
    for index in 0..upstreams {
        let host = format!("h{index}");
        values.extend([plan::assign(&host, &names[index % pools])]);
        hosts.push(plan::host(&host, "near", 1));
    }
    catalog.snapshot(1, true, values.iter(), &hosts)
}

fn bench(pools: usize, customers: usize, upstreams: usize) -> Bench {
    let mut catalog = Catalog::new();
    let home = catalog.availability_zone(&plan::name("near"));
    let mut bench = Bench {
        now: Time::from_millis(1_000_000),
        engine: Engine::new(home, 1, Limit::default(), 1),
        snapshot: snapshot(&mut catalog, pools, customers, upstreams),
    };
    bench
        .engine
        .apply(bench.now, &bench.snapshot, &mut Vec::new());
    for _ in 0..3 {
        bench.now = bench.now + Duration::from_secs(1);
        bench.engine.divide(bench.now);
    }
    bench
}

/// One request of each customer in turn, with one pool: arrive, poll, finish.
#[divan::bench(args = [(10, 50), (100, 50), (1_000, 50), (10, 1_400), (100, 1_400), (1_000, 1_400)])]
fn decision(bencher: Bencher<'_, '_>, (customers, upstreams): (usize, usize)) {
    let mut bench = bench(1, customers, upstreams);
    let mut callers: SlotMap<caller::Key, ()> = SlotMap::with_key();
    let mut decisions: Vec<Decision> = Vec::with_capacity(16);
    let mut turn = 0;
    bencher.bench_local(move || {
        turn += 1;
        bench.now = bench.now + Duration::from_micros(10);
        let caller = caller::Handle {
            thread: 0,
            key: callers.insert(()),
        };
        let arrival = Arrival {
            caller,
            customer: bench.snapshot.customers[turn % customers].key,
            pool: bench.snapshot.pools[0].key,
            class: class::Index(0),
            deadline: bench.now + Duration::from_secs(1),
            idempotent: true,
        };
        let admitted = bench.engine.arrive(bench.now, arrival);
        assert!(admitted.is_ok(), "{admitted:?}");
        decisions.clear();
        bench.engine.poll(bench.now, &mut decisions);
        assert_eq!(decisions.len(), 1);
        let report = AttemptResult::Answered(Duration::from_micros(10));
        bench.engine.finish(bench.now, caller, report);
        callers.remove(caller.key);
    });
}

/// A snapshot without changes at the target size: 199 pools, 100 customers, 1,400 upstreams.
#[divan::bench(args = [(50, 25, 350), (100, 50, 700), (199, 100, 1_400)])]
fn apply(bencher: Bencher<'_, '_>, (pools, customers, upstreams): (usize, usize, usize)) {
    let mut bench = bench(pools, customers, upstreams);
    bencher.bench_local(move || {
        let mut decisions = Vec::new();
        bench
            .engine
            .apply(bench.now, &bench.snapshot, &mut decisions);
    });
}

/// The division that is due each second, at the same sizes.
#[divan::bench(args = [(50, 25, 350), (100, 50, 700), (199, 100, 1_400)])]
fn divide(bencher: Bencher<'_, '_>, (pools, customers, upstreams): (usize, usize, usize)) {
    let mut bench = bench(pools, customers, upstreams);
    bencher.bench_local(move || bench.engine.divide(bench.now));
}
