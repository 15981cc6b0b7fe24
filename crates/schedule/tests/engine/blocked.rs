//! Tasks behind others that find no runner.

use crate::harness::{
    Harness,
    RUNNER_SLOTS,
    long_running,
    step, //
};
use core::fmt::Write;
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;

/// Numbers of the jobs behind the others.
const BEHIND: core::ops::Range<u64> = 1_000..1_010;

/// Submits `count` jobs that find no runner, with their step, and then others. Returns how many of the others run after
/// 300 ms, although each of the four runners has free capacity.
fn started_behind(count: u64, blocked: &Step) -> usize {
    let mut harness = Harness::new(4, 1);
    harness.task_duration = |_| None;
    // Each runner has a small task.
    harness.submit(1, vec![long_running(4, 1)]);
    harness.run_ms(100);
    for id in 100..100 + count {
        harness.submit(id, vec![blocked.clone()]);
    }
    harness.run_ms(100);
    for id in BEHIND {
        harness.submit(id, vec![step(1)]);
    }
    harness.run_ms(300);
    let ids: Vec<String> = harness.runners.keys().cloned().collect();
    let running: Vec<String> = ids.iter().flat_map(|id| harness.running(id)).collect();
    let runs = |id: &u64| running.contains(&format!("{id:016x}.0.0.0"));
    BEHIND.filter(runs).count()
}

/// Guards against jobs that never start although most of a pool is free, because more steps than a round of placement goes
/// through wait for something else: the runner that was lost, beside a task on each other one; a label that no runner has;
/// a larger runner; or an empty one.
#[test]
fn jobs_start_behind_those_that_find_no_runner() {
    let need = |cpu| Resource {
        cpu,
        memory: 1,
        gpu: 0,
    };
    let with = |need, count| Step {
        need,
        ..long_running(count, 1)
    };
    let label = Some("rare".into());
    let labelled = Step { label, ..step(1) };
    let cases = [
        ("lost runner", 60, with(need(0), 5)),
        ("label", 60, labelled.clone()),
        ("label, many turns", 160, labelled),
        ("too large", 60, with(need(1_000 * RUNNER_SLOTS + 1), 1)),
        ("empty runner", 60, with(need(1_000 * RUNNER_SLOTS), 1)),
    ];
    let mut table = String::new();
    for (name, count, blocked) in cases {
        let _ = writeln!(table, "{name}: {}", started_behind(count, &blocked));
    }
    insta::assert_snapshot!(table);
}

/// Guards against jobs that overtake those at the front while the pool is full.
#[test]
fn jobs_behind_do_not_overtake_in_a_full_pool() {
    let mut harness = Harness::new(2, 1);
    harness.task_duration = |_| Some(Duration::from_millis(400));
    harness.submit(1, vec![step(8)]);
    harness.run_ms(60);
    for id in 100..160 {
        harness.submit(id, vec![step(1)]);
    }
    harness.run_ms(500);
    let started = |id: &u64| harness.timeline().contains(&format!("start {id:x}."));
    let started: Vec<u64> = (100..160).filter(started).collect();
    assert_eq!(started, (100..108).collect::<Vec<_>>());
}
