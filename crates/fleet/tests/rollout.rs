//! Compares the duration of a whole wave with its lower bound and with maintaining one host per pool at a time.

mod common;

use common::{
    Random, SECOND,
    process::Process,
    world::{
        self,
        World, //
    },
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_fleet::Rules;
use std::collections::BTreeMap;

/// Target of the design page, section 1.5: duration of a wave in percent of its lower bound.
const BOUND_PERCENT: u64 = 110;

struct Size {
    title: &'static str,
    pools: usize,
    hosts: usize,
    zones: usize,
    step: Duration,
    /// Number of seeds; the table shows the one with the worst ratio.
    seeds: u64,
    /// Whether hosts report the actual duration of their work; otherwise the reported duration is random.
    declared: bool,
}

fn build(size: &Size, seed: u64, rules: &Rules) -> World {
    let pools: Vec<_> = (0..size.pools)
        .map(|pool| {
            let extra = usize::from(pool < size.hosts % size.pools);
            (format!("p{pool}"), size.hosts / size.pools + extra, 80)
        })
        .collect();
    let start = rules.deadline(900) + SECOND;
    let mut world = world::build(&pools, size.zones, start);
    let mut random = Random(seed << 20);
    for host in &mut world.hosts {
        host.drain = SECOND * (120 + random.below(480) as u32);
        host.reboot = SECOND * (240 + random.below(120) as u32);
        let other = SECOND * (120 + random.below(480) as u32);
        host.declared = if size.declared { host.drain } else { other };
    }
    world
}

/// Runs one planner until every host is maintained; returns the duration of the wave and the number of log appends.
fn run(size: &Size, seed: u64, rules: &Rules) -> (Duration, usize) {
    let mut world = build(size, seed, rules);
    let mut process = Process::new("p0", &world);
    let start = world.now;
    for steps in 0.. {
        assert!(steps < 20_000, "{}: the wave does not end", size.title);
        world.advance(start + size.step * steps);
        process.read_log(&world, 0);
        process.read_reports(&world, 0);
        process.decide(rules, world.now);
        while let Some(pending) = process.pending.pop_front() {
            world.append(pending.record);
        }
        process.read_log(&world, 0);
        let pools = world.percent.keys();
        let done: usize = pools
            .map(|pool| world.reservation(pool).finished.len())
            .sum();
        if done == world.hosts.len() {
            break;
        }
    }
    (world.now.since(start), world.log.len() - 1)
}

fn durations(world: &World, rules: &Rules) -> BTreeMap<Name, BTreeMap<Name, Vec<Duration>>> {
    let mut durations: BTreeMap<Name, BTreeMap<Name, Vec<Duration>>> = BTreeMap::new();
    for host in &world.hosts {
        let zones = durations.entry(host.pool.clone()).or_default();
        let duration = host.drain + host.reboot + rules.probation;
        zones.entry(host.zone.clone()).or_default().push(duration);
    }
    durations
}

/// Returns the lower bound for the slowest pool.
///
/// With `width` hosts of a zone out of service at once, the zone takes at least as long as its longest host, as the sum
/// over all hosts divided by `width`, and as the two shortest of the `width` + 1 longest hosts, because two of these
/// must follow each other.
fn bound(world: &World, rules: &Rules) -> Duration {
    let pools = durations(world, rules).into_iter().map(|(pool, zones)| {
        let hosts: usize = zones.values().map(Vec::len).sum();
        let width = hosts - (hosts * world.percent[&pool]).div_ceil(100);
        let zones = zones.into_values().map(|mut durations| {
            durations.sort_unstable_by(|a, b| b.cmp(a));
            let mean = durations.iter().sum::<Duration>() / width as u32;
            let pair = durations
                .get(width)
                .map_or(Duration::ZERO, |&next| durations[width - 1] + next);
            durations[0].max(mean).max(pair)
        });
        zones.sum::<Duration>()
    });
    pools.max().unwrap()
}

/// Returns the duration of a wave that maintains one host of each pool at a time, without delay between hosts.
fn baseline(world: &World, rules: &Rules) -> Duration {
    let pools = durations(world, rules).into_values();
    let sums = pools.map(|zones| zones.into_values().flatten().sum());
    sums.max().unwrap()
}

fn measure(size: &Size, seed: u64, rules: &Rules) -> (u64, String) {
    let world = build(size, seed, rules);
    let bound = bound(&world, rules).as_secs();
    let baseline = baseline(&world, rules).as_secs();
    let (planner, appends) = run(size, seed, rules);
    let planner = planner.as_secs();
    let percent = (planner * 100).div_ceil(bound);
    let (title, hosts, pools) = (size.title, size.hosts, size.pools);
    let row = format!(
        "{title} | {hosts} | {pools} | {seed} | {bound} | {planner} | {percent} | {baseline} | {appends}"
    );
    (percent, row)
}

/// Guards against a wave that leaves budget unused or starts steps late.
#[test]
fn rollout_stays_near_its_lower_bound() {
    let size = |title, pools, hosts, zones, step, seeds, declared| Size {
        title,
        pools,
        hosts,
        zones,
        step: SECOND * step,
        seeds,
        declared,
    };
    // Vanua and Trenzas are the deployments described in the folder `examples`.
    let sizes = [
        size("Vanua", 5, 50, 3, 10, 10, true),
        size("Trenzas", 5, 50, 4, 10, 10, true),
        size("target", 199, 1_400, 4, 20, 1, true),
        size("Vanua, undeclared", 5, 50, 3, 10, 10, false),
        size("Trenzas, undeclared", 5, 50, 4, 10, 10, false),
    ];
    let rules = Rules::default();
    let mut lines = vec![
        "size | hosts | pools | worst seed | bound s | planner s | percent | one per pool s | appends"
            .to_string(),
    ];
    let mut over = Vec::new();
    for size in &sizes {
        let rows = (1..=size.seeds).map(|seed| measure(size, seed, &rules));
        let (percent, row) = rows.max_by_key(|&(percent, _)| percent).unwrap();
        if percent > BOUND_PERCENT {
            over.push(row.clone());
        }
        lines.push(row);
    }
    insta::assert_snapshot!(lines.join("\n"));
    assert!(
        over.is_empty(),
        "rollout above {BOUND_PERCENT}% of the bound: {over:?}"
    );
}
