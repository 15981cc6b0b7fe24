//! Bytes that control traffic takes.

mod common;

use common::world::{
    Random,
    World,
    demands,
    pools, //
};
use core::{
    fmt::Write,
    time::Duration, //
};
use insta::assert_snapshot;
use sassafrascrank_peer::{
    message::{
        Demand,
        DrainNotice, //
    },
    roster::{
        PLATFORM_BYTES_PER_SECOND,
        REPORT_INTERVAL, //
    },
};

/// Bytes a second, sent and received, that a process may spend on control; section 1.4 of the design page.
const BOUND: u64 = 2_048;
/// Length of a run in seconds; it covers the start and three exchanges with each entry of another zone.
const SECONDS: u64 = 60;
/// Time between two confirmations by peers while the log is down, in seconds; the lease is 5 s.
const CONFIRMATION: u64 = 2;
const SEED: u64 = 11;
const SIZES: [(usize, &[&str]); 3] = [
    (8, &["suva", "lautoka", "nadi"]),
    (16, &["nicoya", "cruz", "liberia", "filadelfia"]),
    (32, &["nicoya", "cruz", "liberia", "filadelfia"]),
];

/// Runs all entries with demand that changes in each pool in each second, and returns the most bytes a second of any
/// process.
fn measure(entries: usize, zones: &[&str], count: usize, outage: bool) -> u64 {
    let mut world = World::new(entries, zones);
    let mut random = Random(SEED);
    let pools = pools(count);
    for second in 0..SECONDS {
        for node in &mut world.nodes {
            node.roster.publish(demands(&mut random, &pools));
            node.status.config_offset = 1_000_000 + second;
            node.status.membership_offset = 100_000;
            node.status.revision = 99_000;
        }
        if outage && second % CONFIRMATION == 0 {
            (0..entries).for_each(|index| world.ask(index));
        }
        world.run(Duration::from_secs(1));
    }
    let most = world.nodes.iter().map(|node| node.bytes).max().unwrap();
    most / SECONDS
}

/// Guards against control traffic above the target of 2,048 bytes a second for each process, of which reading the
/// platform takes a part.
#[test]
fn traffic_stays_below_the_target() {
    let mut table = String::from("entries pools bytes/s\n");
    for (entries, zones) in SIZES {
        for pools in [5, 50, 199] {
            let bytes = measure(entries, zones, pools, false);
            assert!(
                bytes <= BOUND - PLATFORM_BYTES_PER_SECOND,
                "{entries} entries, {pools} pools, seed {SEED}: {bytes}"
            );
            writeln!(table, "{entries:7} {pools:5} {bytes:7}").unwrap();
        }
    }
    assert_snapshot!(table);
}

/// Guards against confirmations by peers that exceed the target while the log is down.
#[test]
fn traffic_stays_below_the_target_during_an_outage() {
    let mut table = String::from("entries pools bytes/s\n");
    for (entries, zones) in SIZES {
        let bytes = measure(entries, zones, 199, true);
        assert!(bytes <= BOUND, "{entries} entries, seed {SEED}: {bytes}");
        writeln!(table, "{entries:7}   199 {bytes:7}").unwrap();
    }
    assert_snapshot!(table);
}

/// Guards against a burst that waits behind the small changes of 198 other pools.
#[test]
fn a_burst_arrives_within_three_seconds() {
    let (entries, zones) = SIZES[2];
    let mut world = World::new(entries, zones);
    let mut random = Random(SEED);
    let pools = pools(199);
    let burst = pools[77];
    let mut arrived = Vec::new();
    for second in 0..114 {
        for node in &mut world.nodes {
            let noise = pools.iter().map(|pool| {
                let high = *pool == burst && second >= 110;
                let millislots = (900 + random.below(200)) * if high { 10 } else { 1 };
                Demand {
                    pool: *pool,
                    millislots,
                    spill_millislots: 0,
                }
            });
            node.roster.publish(noise);
        }
        world.run(Duration::from_secs(1));
        let sees = |index: &usize| {
            let node = &world.nodes[*index];
            let peer = node.roster.find(&common::entry(0)).unwrap();
            let mut demands = node.roster.peer(peer).unwrap().demands();
            demands.any(|demand| demand.pool == burst && demand.millislots > 5_000)
        };
        if second >= 110 {
            arrived.push(
                (zones.len()..entries)
                    .step_by(zones.len())
                    .filter(sees)
                    .count(),
            );
        }
    }
    assert_eq!(
        arrived[2], 7,
        "peers that know the burst after each second, seed {SEED}: {arrived:?}"
    );
    assert_snapshot!(format!("{arrived:?}"));
}

/// Guards against a drain sign that reaches an entry too late, and states what a sign costs.
#[test]
fn drain_signs_arrive_within_three_seconds() {
    let mut table = String::from("entries latest_ms bytes\n");
    for (entries, zones) in SIZES {
        let run = |drain_notices: bool| {
            let mut world = World::new(entries, zones);
            world.run(Duration::from_secs(20));
            let notice = DrainNotice {
                host: common::name("runner-77"),
                incarnation: 3,
            };
            let start = world.now;
            // All entries of the first zone read the same host list.
            for index in (0..entries).step_by(zones.len()).filter(|_| drain_notices) {
                world.nodes[index]
                    .roster
                    .announce_drain(start, notice.clone());
                world.nodes[index]
                    .drain_notices
                    .insert(notice.clone(), start);
            }
            world.run(Duration::from_secs(30));
            let late = world
                .nodes
                .iter()
                .map(|node| match node.drain_notices.get(&notice) {
                    Some(heard) => heard.since(start),
                    None => Duration::MAX,
                });
            let latest = late.max().unwrap();
            (
                latest,
                world.nodes.iter().map(|node| node.bytes).max().unwrap(),
            )
        };
        let (latest, with) = run(true);
        let (_, without) = run(false);
        assert!(
            latest <= 3 * REPORT_INTERVAL,
            "{entries} entries: {latest:?}"
        );
        let (latest, bytes) = (latest.as_millis(), with - without);
        writeln!(table, "{entries:7} {latest:9} {bytes:5}").unwrap();
    }
    assert_snapshot!(table);
}
