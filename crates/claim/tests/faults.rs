//! Schedules with faults drawn from seeds.

mod simulation;

use simulation::{
    Fault,
    Simulation,
    Tally, //
};
use std::{
    fmt::Write,
    thread, //
};

const SEEDS: u64 = 1_000;
const THREADS: u64 = 8;

/// Runs the schedules of one fault for all seeds below `seeds`; without `fenced`, the fences are ignored.
fn tally(fault: Fault, seeds: u64, fenced: bool) -> Tally {
    let run_seeds = |first: u64| {
        let mut sum = Tally::default();
        (first..seeds)
            .step_by(THREADS as usize)
            .for_each(|seed| sum += Simulation::run(seed, fault, fenced));
        sum
    };
    let mut sum = Tally::default();
    thread::scope(|scope| {
        let parts: Vec<_> = (0..THREADS)
            .map(|first| scope.spawn(move || run_seeds(first)))
            .collect();
        parts
            .into_iter()
            .for_each(|part| sum += part.join().unwrap());
    });
    sum
}

/// Guards against keys that run twice, "not run" for a request that may have run, and callers without an answer.
#[test]
fn no_schedule_runs_a_key_twice_or_misreports_an_outcome() {
    let mut table = format!("{:<9}", "fault");
    Tally::HEAD
        .iter()
        .for_each(|head| write!(table, "{head:>13}").unwrap());
    let mut violations = Vec::new();
    for fault in Fault::ALL {
        let sum = tally(fault, SEEDS, true);
        write!(table, "\n{:<9}", format!("{fault:?}")).unwrap();
        sum.row()
            .iter()
            .for_each(|count| write!(table, "{count:>13}").unwrap());
        violations.extend(sum.violations);
    }
    assert!(
        violations.is_empty(),
        "{} violations, first {:?}",
        violations.len(),
        &violations[..violations.len().min(8)]
    );
    insta::assert_snapshot!(table);
}

/// Guards against schedules that could not find a second run even if the protocol allowed one.
#[test]
fn schedules_without_fences_find_second_runs() {
    let mut found = String::new();
    for fault in [
        Fault::Crash,
        Fault::Pause,
        Fault::PeerCut,
        Fault::Rolling,
        Fault::Mixed,
    ] {
        let sum = tally(fault, 100, false);
        let twice = sum
            .violations
            .iter()
            .filter(|text| text.starts_with("at-most-once"))
            .count();
        assert!(twice > 0, "{fault:?} finds no second run without fences");
        writeln!(found, "{fault:?}: {twice} second runs of {} keys", sum.keys).unwrap();
    }
    insta::assert_snapshot!(found);
}

/// Guards against schedules that end before each caller has an answer.
///
/// With these seeds, all messages to a caller were lost before the regular end of the schedule.
#[test]
fn schedules_go_on_until_each_caller_has_an_answer() {
    for seed in [3_874, 7_163] {
        let violations = Simulation::run(seed, Fault::Mixed, true).violations;
        assert!(violations.is_empty(), "{violations:?}");
    }
}
