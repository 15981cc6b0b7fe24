//! Cost of the target parts of one entry, computed for each report.

use divan::{
    Bencher,
    black_box, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::partition::{
    Entry,
    Upstream,
    target_quotas, //
};
use slotmap::SlotMap;

const NOW: Time = Time::from_millis(1_000_000);

fn main() {
    divan::main();
}

/// Eight entries in four zones, over the upstreams of one pool.
#[divan::bench(args = [8, 50, 1_400])]
fn parts(bencher: Bencher<'_, '_>, size: u64) {
    let mut arena = SlotMap::with_key();
    let zones: [availability_zone::Key; 4] = [(); 4].map(|()| arena.insert(()));
    let zone = |id: u64| zones[usize::try_from(id % 4).unwrap_or(0)];
    let entries: Vec<Entry> = (0..8)
        .map(|id| Entry {
            id,
            availability_zone: zone(id),
            demand: 1_000 * id * size,
            spill: 1_000 * id * size,
            heard: NOW,
        })
        .collect();
    let upstreams: Vec<Upstream> = (0..size)
        .map(|id| Upstream {
            id,
            availability_zone: zone(id),
            slots: 8,
        })
        .collect();
    bencher.bench_local(|| target_quotas(black_box(NOW), 3, &entries, &upstreams));
}
