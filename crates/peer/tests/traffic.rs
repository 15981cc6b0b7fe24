//! Bytes that the traffic between entries takes.

mod common;

use common::simulation::{
    Random,
    Simulation,
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

/// Bytes a second, sent and received, that a process may spend on control; see section 1.4 of the design page.
const TARGET_BYTES_PER_SECOND: u64 = 2_048;
/// Virtual time of a run, which covers the start and three exchanges with each entry of another zone; in seconds.
const RUN_SECONDS: u64 = 60;
/// Time between two confirmations by peers while the log is down; the lease is 5 s.
const CONFIRMATION_INTERVAL_SECONDS: u64 = 2;
const SEED: u64 = 11;
/// Number of entries, and the availability zones among which they are divided.
const DEPLOYMENTS: [(usize, &[&str]); 3] = [
    (8, &["suva", "lautoka", "nadi"]),
    (16, &["nicoya", "cruz", "liberia", "filadelfia"]),
    (32, &["nicoya", "cruz", "liberia", "filadelfia"]),
];

/// Runs all entries with demand that changes in each pool in each second, and returns the bytes a second of the entry
/// with the most traffic.
fn peak_bytes_per_second(entries: usize, zones: &[&str], count: usize, outage: bool) -> u64 {
    let mut simulation = Simulation::new(entries, zones);
    let mut random = Random(SEED);
    let pools = pools(count);
    for second in 0..RUN_SECONDS {
        for node in &mut simulation.nodes {
            node.roster.publish(demands(&mut random, &pools));
            node.status.config_offset = 1_000_000 + second;
            node.status.membership_offset = 100_000;
            node.status.revision = 99_000;
        }
        if outage && second % CONFIRMATION_INTERVAL_SECONDS == 0 {
            (0..entries).for_each(|index| simulation.request_confirmations(index));
        }
        simulation.run(Duration::from_secs(1));
    }
    let most = simulation
        .nodes
        .iter()
        .map(|node| node.bytes)
        .max()
        .unwrap();
    most / RUN_SECONDS
}

/// Guards against traffic between entries that, with the reads of log and host list, exceeds the target of 2,048 bytes
/// a second for each process.
#[test]
fn traffic_stays_below_the_target() {
    let mut table = String::from("entries pools bytes/s\n");
    for (entries, zones) in DEPLOYMENTS {
        for pools in [5, 50, 199] {
            let bytes = peak_bytes_per_second(entries, zones, pools, false);
            assert!(
                bytes <= TARGET_BYTES_PER_SECOND - PLATFORM_BYTES_PER_SECOND,
                "{entries} entries, {pools} pools, seed {SEED}: {bytes}"
            );
            writeln!(table, "{entries:7} {pools:5} {bytes:7}").unwrap();
        }
    }
    assert_snapshot!(table);
}

/// Guards against traffic that exceeds the target because peers confirm the view while the log is down.
#[test]
fn traffic_stays_below_the_target_during_an_outage() {
    let mut table = String::from("entries pools bytes/s\n");
    for (entries, zones) in DEPLOYMENTS {
        let bytes = peak_bytes_per_second(entries, zones, 199, true);
        assert!(
            bytes <= TARGET_BYTES_PER_SECOND,
            "{entries} entries, seed {SEED}: {bytes}"
        );
        writeln!(table, "{entries:7}   199 {bytes:7}").unwrap();
    }
    assert_snapshot!(table);
}

/// Guards against a burst of demand for one pool that is reported late, behind the small changes of 198 other pools.
#[test]
fn a_burst_arrives_within_three_seconds() {
    let (entries, zones) = DEPLOYMENTS[2];
    let mut simulation = Simulation::new(entries, zones);
    let mut random = Random(SEED);
    let pools = pools(199);
    let burst = pools[77];
    let mut arrived = Vec::new();
    for second in 0..114 {
        for node in &mut simulation.nodes {
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
        simulation.run(Duration::from_secs(1));
        let sees = |index: &usize| {
            let node = &simulation.nodes[*index];
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

/// Guards against a drain notice that reaches an entry too late or takes more bytes than the snapshot says.
#[test]
fn drain_notices_arrive_within_three_seconds() {
    let mut table = String::from("entries latest_ms bytes\n");
    for (entries, zones) in DEPLOYMENTS {
        let run = |drain_notices: bool| {
            let mut simulation = Simulation::new(entries, zones);
            simulation.run(Duration::from_secs(20));
            let notice = DrainNotice {
                host: common::name("runner-77"),
                incarnation: 3,
            };
            let start = simulation.now;
            // All entries of the first zone read the same host list.
            for index in (0..entries).step_by(zones.len()).filter(|_| drain_notices) {
                simulation.nodes[index]
                    .roster
                    .announce_drain(start, notice.clone());
                simulation.nodes[index]
                    .drain_notices
                    .insert(notice.clone(), start);
            }
            simulation.run(Duration::from_secs(30));
            let late = simulation
                .nodes
                .iter()
                .map(|node| match node.drain_notices.get(&notice) {
                    Some(heard) => heard.since(start),
                    None => Duration::MAX,
                });
            let latest = late.max().unwrap();
            (
                latest,
                simulation
                    .nodes
                    .iter()
                    .map(|node| node.bytes)
                    .max()
                    .unwrap(),
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
