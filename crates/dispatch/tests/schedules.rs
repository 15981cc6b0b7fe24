//! Random schedules of faults against one engine; the snapshots show how often each path was taken.

mod common;

use common::simulation::{
    Profile,
    Simulation, //
};
use std::collections::BTreeMap;

/// Schedules of each test, one for each seed.
const SEEDS: u64 = 2_500;

fn run_schedules(first: u64, profile: Profile) -> String {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for seed in first..first + SEEDS {
        let mut simulation = Simulation::new(seed, profile);
        simulation.run();
        for (what, count) in simulation.check.counts {
            *counts.entry(what).or_default() += count;
        }
    }
    let lines = counts
        .iter()
        .map(|(what, count)| format!("{what:40} {count:>7}\n"));
    lines.collect()
}

/// Guards against requests that never end, end twice, or end with a false outcome when upstreams fail.
#[test]
fn upstream_faults_end_each_request_once() {
    let profile = Profile {
        fault: 50,
        cancel: 5,
        ..Profile::default()
    };
    insta::assert_snapshot!(run_schedules(0, profile));
}

/// Guards against lost requests and leaked slots when their customer, pool or upstream is removed.
#[test]
fn configuration_changes_end_each_request_once() {
    let profile = Profile {
        fault: 20,
        cancel: 5,
        change: 15,
        ..Profile::default()
    };
    insta::assert_snapshot!(run_schedules(10_000, profile));
}

/// Guards against leaked requests and slots when callers disconnect at any stage, also without time passing.
#[test]
fn cancellations_leave_nothing_behind() {
    let profile = Profile {
        fault: 30,
        cancel: 60,
        clock_stall: 50,
        change: 3,
        ..Profile::default()
    };
    insta::assert_snapshot!(run_schedules(20_000, profile));
}

/// Guards against new requests for draining upstreams, and against requests that don't end because of a drain.
#[test]
fn draining_upstreams_get_no_new_work() {
    let profile = Profile {
        fault: 15,
        cancel: 5,
        change: 5,
        drain_sign: 8,
        clock_stall: 20,
    };
    insta::assert_snapshot!(run_schedules(30_000, profile));
}
