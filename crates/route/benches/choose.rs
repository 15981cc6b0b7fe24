//! Cost of taking and giving back one slot, beside a linear scan over the same upstreams.

use divan::{
    Bencher,
    black_box, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::{
    AttemptResult,
    Attributes,
    Router, //
};
use slotmap::SlotMap;

/// Numbers of upstreams of one pool today and of all pools at the target size.
const SIZES: [usize; 2] = [50, 1_400];

/// Slots of each upstream that are taken before the measurement, out of 8.
const LOAD: usize = 4;

const ANSWER: AttemptResult = AttemptResult::Answered(Duration::from_millis(20));

fn main() {
    divan::main();
}

#[divan::bench(args = SIZES)]
fn router(bencher: Bencher<'_, '_>, size: usize) {
    let mut zones = SlotMap::with_key();
    let home: availability_zone::Key = zones.insert(());
    let mut keys = SlotMap::with_key();
    let mut router = Router::new();
    let mut now = Time::from_millis(1_000);
    for _ in 0..size {
        let upstream = keys.insert(());
        let attributes = Attributes {
            availability_zone: home,
            slots: 8,
        };
        router.insert(now, upstream, attributes);
        router.set_quota(upstream, 8);
    }
    for _ in 0..size * LOAD {
        router.choose(now, home, true, None);
    }
    bencher.bench_local(|| {
        now = now + Duration::from_micros(10);
        let chosen = router.choose(black_box(now), home, true, None);
        if let Some(upstream) = chosen {
            router.release(now, upstream, black_box(ANSWER));
        }
    });
}

struct Plain {
    upstream: upstream::Key,
    zone: availability_zone::Key,
    quota: u32,
    running: u32,
    latency: u64,
    turn: u64,
}

#[divan::bench(args = SIZES)]
fn linear_scan(bencher: Bencher<'_, '_>, size: usize) {
    let mut zones = SlotMap::with_key();
    let home: availability_zone::Key = zones.insert(());
    let mut keys = SlotMap::with_key();
    let make = |_| Plain {
        upstream: keys.insert(()),
        zone: home,
        quota: 8,
        running: 4,
        latency: 20_000,
        turn: 0,
    };
    let mut upstreams: Vec<Plain> = (0..size).map(make).collect();
    let mut turn = 0;
    bencher.bench_local(|| {
        turn += 1;
        let free = upstreams
            .iter_mut()
            .filter(|plain| plain.running < plain.quota);
        let best = free.min_by_key(|plain| {
            let load = (u64::from(plain.running) << 32) / u64::from(plain.quota);
            (plain.zone != home, load, plain.latency, plain.turn)
        });
        if let Some(plain) = best {
            plain.running += 1;
            plain.turn = turn;
            black_box(plain.upstream);
            plain.running -= 1;
            plain.latency = (plain.latency * 15 + black_box(20_000)) / 16;
        }
    });
}
