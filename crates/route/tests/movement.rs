//! Movement of slots between entries that learn of changes at different times.

mod simulation;

use core::fmt::Write;
use sassafrascrank_base::prelude::*;
use simulation::{
    STEP,
    Simulation, //
};

const SEEDS: u64 = 20;

/// Numbers of entries and upstreams of one pool in one zone: a small and a large deployment.
const SIZES: [(usize, u64); 2] = [(3, 4), (8, 20)];

/// Longest time until a report arrives in these tests.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(10);

/// Use of the slots over a run, summed over its steps.
#[derive(Debug, Default)]
struct Usage {
    /// Slots in use.
    used: u64,
    /// Slots that the demand could use.
    possible: u64,
    /// Most slots assigned to two entries at one time.
    twice: u32,
    /// How long any slot was assigned to two entries.
    overlap: Duration,
}

impl Usage {
    /// Returns the slots in use as a percentage of those that could be.
    fn percent(&self) -> u64 {
        100 * self.used / self.possible.max(1)
    }
}

fn run(simulation: &mut Simulation, span: Duration) -> Usage {
    let end = simulation.now + span;
    let mut usage = Usage::default();
    while simulation.now < end {
        let (used, twice) = simulation.step();
        let wanted = simulation.nodes.iter().filter(|node| node.alive);
        let wanted: u32 = wanted.map(|node| node.wanted).sum();
        usage.used += u64::from(used);
        usage.possible += u64::from(wanted.min(simulation.total));
        usage.twice = usage.twice.max(twice);
        usage.overlap += STEP * u32::from(twice > 0);
    }
    usage
}

/// Returns a simulation in a steady state, at a random time between reports.
///
/// The first entry wants more than all slots.
fn steady_state(seed: u64, (entries, upstreams): (usize, u64)) -> Simulation {
    let mut simulation = Simulation::new(seed, entries, upstreams);
    simulation.nodes[0].wanted = simulation.total * 3 / 2;
    run(&mut simulation, Duration::from_secs(4));
    let span = simulation.random_time().since(simulation.now);
    let usage = run(&mut simulation, span);
    assert_eq!(usage.twice, 0, "seed {seed}: {usage:?}");
    simulation
}

/// Moves the demand of the first entry to the second.
fn move_demand(simulation: &mut Simulation) {
    simulation.nodes[1].wanted = core::mem::take(&mut simulation.nodes[0].wanted);
}

/// Returns the time until an entry has this number of slots, at most 10 s.
fn time_until_slots(simulation: &mut Simulation, index: usize, slots: u32) -> Duration {
    let start = simulation.now;
    while simulation.nodes[index].slots() < slots
        && simulation.now < start + Duration::from_secs(10)
    {
        simulation.step();
    }
    simulation.now.since(start)
}

/// Formats the lowest, the highest and the median duration.
fn summary(mut durations: Vec<Duration>) -> String {
    durations.sort_unstable();
    let middle = durations[durations.len() / 2];
    let (first, last) = (durations[0], durations[durations.len() - 1]);
    format!("{first:?} to {last:?}, median {middle:?}")
}

/// Guards against slots that stay with an entry after its demand has moved to another entry.
#[test]
fn slots_follow_demand() {
    let mut table = String::new();
    for size in SIZES {
        let (mut to_half, mut to_most) = (Vec::new(), Vec::new());
        for seed in 0..SEEDS {
            let mut simulation = steady_state(seed, size);
            let before = simulation.nodes[1].slots();
            move_demand(&mut simulation);
            let gain = simulation.total - (size.0 as u32 - 1) - before;
            let first = time_until_slots(&mut simulation, 1, before + gain / 2);
            let rest = time_until_slots(&mut simulation, 1, before + gain * 9 / 10);
            // The target for the time until the slots have moved is 1 to 2 s.
            assert!(first <= Duration::from_secs(2), "seed {seed}: {first:?}");
            to_half.push(first);
            to_most.push(first + rest);
        }
        writeln!(table, "{size:?}: half after {}", summary(to_half)).unwrap();
        writeln!(table, "{size:?}: 90% after {}", summary(to_most)).unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against a slot that two entries use at once while demand moves and no report is lost.
#[test]
fn moving_demand_uses_no_slot_twice() {
    let mut table = String::new();
    for size in SIZES {
        for seconds in [5, 10, 20] {
            let (mut used, mut possible) = (0, 0);
            for seed in 0..3 {
                let mut simulation = steady_state(seed, size);
                for turn in 0..4 {
                    let wanted = core::mem::take(&mut simulation.nodes[turn % size.0].wanted);
                    simulation.nodes[(turn + 1) % size.0].wanted = wanted;
                    let usage = run(&mut simulation, Duration::from_secs(seconds));
                    assert_eq!(usage.twice, 0, "seed {seed}: {usage:?}");
                    used += usage.used;
                    possible += usage.possible;
                }
            }
            let percent = 100 * used / possible;
            writeln!(
                table,
                "{size:?}: a move each {seconds:>2} s uses {percent}%"
            )
            .unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against slots that stay unused while every entry has work queued.
#[test]
fn backlogged_entries_use_all_slots() {
    for size in SIZES {
        for seed in 0..3 {
            let mut simulation = steady_state(seed, size);
            for index in 0..size.0 {
                simulation.nodes[index].wanted = simulation.total;
            }
            run(&mut simulation, Duration::from_secs(4));
            let usage = run(&mut simulation, Duration::from_secs(5));
            assert!(usage.percent() >= 98, "seed {seed}: {usage:?}");
        }
    }
}

/// Guards against slots used by two entries for longer than the bound when reports are lost.
///
/// The reports are those of an entry that gains slots. Each lost one after the first lets the entry that loses the
/// slots keep them for one more interval.
#[test]
fn lost_reports_overlap_for_a_bounded_time() {
    let mut table = String::new();
    for lost in 0..3 {
        let (mut twice, mut overlap) = (0, Vec::new());
        for seed in 0..SEEDS {
            let mut simulation = steady_state(seed, SIZES[0]);
            simulation.nodes[1].wanted = simulation.total * 3 / 2;
            simulation.nodes[1].reports_to_lose = lost;
            let usage = run(&mut simulation, Duration::from_secs(6));
            let intervals = Duration::from_secs(1) * lost.saturating_sub(1);
            let bound = if lost == 0 {
                Duration::ZERO
            } else {
                intervals + MAX_REPORT_DELAY + STEP
            };
            assert!(usage.overlap <= bound, "seed {seed}: {usage:?}");
            assert!(usage.twice <= simulation.total, "seed {seed}: {usage:?}");
            twice = twice.max(usage.twice);
            overlap.push(usage.overlap);
        }
        let overlap = summary(overlap);
        writeln!(
            table,
            "{lost} lost: at most {twice} of 32 slots twice, for {overlap}"
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against slots that two entries still use after the network between them works again, and against more than
/// one use on each side before.
#[test]
fn cut_off_entry_overlaps_until_the_cut_ends() {
    let mut table = String::new();
    for seed in 0..3 {
        let mut simulation = steady_state(seed, SIZES[0]);
        simulation.nodes[1].wanted = simulation.total * 3 / 2;
        run(&mut simulation, Duration::from_secs(4));
        simulation.nodes[1].connected = false;
        let cut = run(&mut simulation, Duration::from_secs(10));
        assert!(cut.twice <= simulation.total, "seed {seed}: {cut:?}");
        simulation.nodes[1].connected = true;
        let after_cut = run(
            &mut simulation,
            Duration::from_secs(1) + MAX_REPORT_DELAY + STEP,
        );
        let after = run(&mut simulation, Duration::from_secs(5));
        assert_eq!(after.twice, 0, "seed {seed}: {after:?}");
        writeln!(
            table,
            "seed {seed}: cut of 10 s: {} of 32 slots twice for {:?}, then for {:?}",
            cut.twice, cut.overlap, after_cut.overlap
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against slots that stay with a crashed entry, and against a new entry that takes slots which are in use.
#[test]
fn crashed_entry_loses_its_slots_and_a_new_one_starts_with_one() {
    let mut table = String::new();
    for size in SIZES {
        let (mut to_free, mut twice, mut overlap) = (Vec::new(), 0, Vec::new());
        for seed in 0..SEEDS {
            let mut simulation = steady_state(seed, size);
            simulation.nodes[1].wanted = simulation.total * 3 / 2;
            run(&mut simulation, Duration::from_secs(4));
            simulation.nodes[1].alive = false;
            let all = simulation.total - (size.0 as u32 - 2);
            let free = time_until_slots(&mut simulation, 0, all);
            // 3 s without a report, one interval until quotas grow, and one check for silent entries.
            assert!(
                free <= Duration::from_millis(4_100) + MAX_REPORT_DELAY,
                "seed {seed}: {free:?}"
            );
            to_free.push(free);
            simulation.restart(1);
            assert_eq!(simulation.nodes[1].slots(), 1, "seed {seed}");
            let usage = run(&mut simulation, Duration::from_secs(6));
            // One slot until its first report, which is sent within one interval.
            let bound = Duration::from_secs(1) + MAX_REPORT_DELAY + STEP;
            assert!(
                usage.twice <= 1 && usage.overlap <= bound,
                "seed {seed}: {usage:?}"
            );
            twice = twice.max(usage.twice);
            overlap.push(usage.overlap);
        }
        writeln!(
            table,
            "{size:?}: slots of a crashed entry after {}",
            summary(to_free)
        )
        .unwrap();
        let overlap = summary(overlap);
        writeln!(
            table,
            "{size:?}: new entry: {twice} slot twice for {overlap}"
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against entries that all start at once and each take all slots, or none.
#[test]
fn restart_of_all_entries_uses_all_slots() {
    let mut table = String::new();
    for size in SIZES {
        let (mut twice, mut overlap, mut full) = (0, Vec::new(), Vec::new());
        for seed in 0..SEEDS {
            let mut simulation = steady_state(seed, size);
            for index in 0..size.0 {
                simulation.nodes[index].wanted = simulation.total;
                simulation.restart(index);
            }
            let start = simulation.now;
            let mut early = Usage::default();
            while early.percent() < 95 && simulation.now < start + Duration::from_secs(10) {
                early = run(&mut simulation, STEP);
                twice = twice.max(early.twice);
                let late = simulation.now.since(start) > Duration::from_secs(2) + MAX_REPORT_DELAY;
                assert!(!late || early.twice == 0, "seed {seed}: {early:?}");
                // Each entry has one slot until it has reports of the others.
                assert!(early.twice <= size.0 as u32, "seed {seed}: {early:?}");
            }
            full.push(simulation.now.since(start));
            overlap.push(run(&mut simulation, Duration::from_secs(5)).overlap);
        }
        writeln!(table, "{size:?}: 95% in use after {}", summary(full)).unwrap();
        let overlap = summary(overlap);
        writeln!(
            table,
            "{size:?}: at most {twice} slots twice, later for {overlap}"
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}
