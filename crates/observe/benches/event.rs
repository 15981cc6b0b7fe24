//! Cost of an event on the recording thread and of the events of a request on the observe thread.

use divan::{
    AllocProfiler,
    Bencher,
    black_box, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_observe::{
    event::{
        self,
        Event,
        Kind,
        request, //
    },
    metrics::Registry,
    names::{
        Names,
        Table, //
    },
    timeline::{
        Process,
        Timeline, //
    },
};
use sassafrascrank_ring::Signal;
use slotmap::SlotMap;

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

fn main() {
    divan::main();
}

fn name(text: &str) -> Name {
    Name::new(text).expect("benchmark names are valid")
}

/// Returns the four events of an answered request, and the names of their keys.
fn request_events() -> ([Event; 4], Names) {
    let mut customers = SlotMap::<customer::Key, ()>::with_key();
    let mut pools = SlotMap::<pool::Key, ()>::with_key();
    let (customer, pool) = (customers.insert(()), pools.insert(()));
    let mut names = Names::default();
    names.add(Table {
        customers: vec![(customer, name("alba"))],
        pools: vec![(pool, name("quoting"))],
        ..Table::default()
    });
    let origin = request::Origin::new(&name("suva-1"), 7);
    let id = request::Counter::new(origin, 0, 1).next_id();
    let time = Time::from_millis(1);
    let events = [
        Event::new(time, Kind::Arrived),
        Event::new(time, Kind::Queued),
        Event::new(time, Kind::Granted).detail(2_000),
        Event::answered(time, Duration::from_millis(10)),
    ];
    (
        events.map(|event| event.request(id).customer(customer).pool(pool)),
        names,
    )
}

/// Records an event into a ring that isn't full and takes it out again.
#[divan::bench]
fn record(bencher: Bencher<'_, '_>) {
    let (mut sink, mut source) = event::ring("dispatch", 8_192, &Signal::new());
    let (events, _) = request_events();
    bencher.bench_local(|| {
        sink.record(black_box(events[0]));
        source.try_recv()
    });
}

/// Resolves, stores and counts the four events of an answered request.
#[divan::bench]
fn store_and_count_request(bencher: Bencher<'_, '_>) {
    let (events, names) = request_events();
    let process = Process {
        host: name("suva-1"),
        incarnation: 7,
    };
    let mut timeline = Timeline::new(process, 1_000);
    let mut metrics = Registry::new().expect("metrics can be set up");
    bencher.bench_local(|| {
        for event in &events {
            let record = timeline.append(event, &names);
            metrics.count(&record);
        }
    });
}
