//! Compares the planner's moves over a week of changing demand with the fewest moves that meet it.

mod common;

use common::{
    Random,
    SECOND,
    name,
    process::Process,
    world, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_fleet::Rules;
use std::collections::BTreeMap;

/// Target of the design page, section 1.5: moves in percent of the fewest possible.
const BOUND_PERCENT: u64 = 110;
const POOLS: [&str; 4] = ["alba", "brisa", "cedro", "comun"];
const HOSTS: [usize; 4] = [2, 2, 2, 3];
const HOST_COUNT: usize = 9;
const STEP: Duration = Duration::from_secs(60);
const PERIOD: Duration = Duration::from_secs(7_200);
const PERIODS: usize = 84;

type Need = [usize; 4];

/// Returns the hosts that each pool needs while the pool `peak` needs `hosts`; each other pool but the spare one needs
/// one host.
fn need(peak: usize, hosts: usize) -> Need {
    let mut need = [1, 1, 1, 0];
    need[peak] = hosts;
    need
}

fn in_turn(hosts: usize) -> Vec<Need> {
    (0..PERIODS).map(|period| need(period % 3, hosts)).collect()
}

/// Returns peaks of two to six hosts in random order; a pool may have several peaks in a row.
fn at_random(seed: u64) -> Vec<Need> {
    let mut random = Random(seed << 20);
    let peak = |_| need(random.below(3) as usize, 2 + random.below(5) as usize);
    (0..PERIODS).map(peak).collect()
}

/// Returns the fewest moves, by dynamic programming over all distributions of the hosts to the pools.
fn count_fewest(needs: &[Need]) -> u64 {
    let mut states = Vec::new();
    for a in 0..=HOST_COUNT {
        for b in 0..=HOST_COUNT - a {
            for c in 0..=HOST_COUNT - a - b {
                states.push([a, b, c, HOST_COUNT - a - b - c]);
            }
        }
    }
    let mut costs: BTreeMap<Need, u64> = BTreeMap::from([(HOSTS, 0)]);
    for need in needs {
        let fits = |state: &&Need| state.iter().zip(need).all(|(has, needs)| has >= needs);
        let reach = |state: &Need| {
            let moves = |from: &Need| {
                let pairs = from.iter().zip(state);
                pairs
                    .map(|(before, after)| after.saturating_sub(*before) as u64)
                    .sum::<u64>()
            };
            let ways = costs.iter().map(|(from, cost)| cost + moves(from));
            (*state, ways.min().unwrap())
        };
        costs = states.iter().filter(fits).map(reach).collect();
    }
    costs.into_values().min().unwrap()
}

/// Returns the number of moves by the planner, and the number of periods at whose end a need was not met.
fn run(needs: &[Need], duration: Duration) -> (u64, usize) {
    let rules = Rules::default();
    let start = rules.deadline(900) + SECOND;
    let pools = POOLS.iter().zip(HOSTS);
    let pools: Vec<_> = pools
        .map(|(pool, hosts)| {
            (
                pool.to_string(),
                hosts,
                if *pool == "comun" { 0 } else { 50 },
            )
        })
        .collect();
    let mut world = world::build_with_spare(&pools, 3, start, Some("comun"));
    let mut process = Process::new("p0", &world);
    let steps = (PERIOD.as_secs() / STEP.as_secs()) as u32;
    let mut unmet = 0;
    for (period, need) in needs.iter().enumerate() {
        for step in 0..steps {
            world.advance(start + STEP * (period as u32 * steps + step));
            process.read_log(&world, 0);
            process.read_reports(&world, 0);
            process.decide(&rules, world.now);
            let needs: Vec<_> = POOLS
                .iter()
                .zip(need)
                .map(|(&pool, &hosts)| (pool, hosts, duration))
                .collect();
            process.decide_moves(&rules, &needs, world.now);
            while let Some(pending) = process.pending.pop_front() {
                world.append(pending.record);
            }
        }
        let count = |pool: &str| {
            world
                .hosts
                .iter()
                .filter(|host| host.pool == name(pool))
                .count()
        };
        unmet += usize::from(
            POOLS
                .iter()
                .zip(need)
                .any(|(pool, &hosts)| count(pool) < hosts),
        );
    }
    (world.joins, unmet)
}

fn measure(title: &str, needs: &[Need]) -> (String, u64, usize) {
    let fewest = count_fewest(needs);
    let (moves, unmet) = run(needs, PERIOD);
    let percent = (moves * 100).div_ceil(fewest);
    let row = format!("{title} | {PERIODS} | {fewest} | {moves} | {percent} | {unmet}");
    (row, percent, unmet)
}

/// Guards against hosts that move back and forth between pools, and against needs that are not met.
#[test]
fn moves_stay_near_the_fewest_possible() {
    let mut lines =
        vec!["demand | periods | fewest | planner | percent | periods with unmet need".to_string()];
    let mut over = Vec::new();
    for hosts in 4..=6 {
        let (row, percent, unmet) = measure(&format!("in turn, {hosts} hosts"), &in_turn(hosts));
        lines.push(row.clone());
        if percent > BOUND_PERCENT || unmet > 0 {
            over.push(row);
        }
    }
    // The bound applies to peaks in turn. With peaks in random order, the fewest moves can only be reached by knowing
    // the order in advance: the planner moves only as many hosts as are missing, but cannot know which pool will have
    // its next peak last.
    for seed in 1..=4 {
        let (row, _, unmet) = measure(&format!("random, seed {seed}"), &at_random(seed));
        assert_eq!(unmet, 0, "seed {seed}: a need was not met");
        lines.push(row);
    }
    let (moves, _) = run(&in_turn(5)[..12], SECOND * 30);
    lines.push(format!(
        "in turn, each peak 30 s | 12 | 0 | {moves} | - | -"
    ));
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(moves, 0, "a drain costs more than a peak of 30 s");
    assert!(
        over.is_empty(),
        "above {BOUND_PERCENT}% of the fewest moves, or need not met: {over:?}"
    );
}
