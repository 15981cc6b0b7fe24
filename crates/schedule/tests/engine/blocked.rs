//! Tasks behind others that find no runner.

use crate::harness::{
    Harness,
    RUNNER_SLOTS,
    long_running,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;

/// Numbers of the jobs at the front, more than a round of placement goes through.
const FRONT: core::ops::Range<u64> = 100..160;
/// Numbers of the jobs behind them.
const BEHIND: core::ops::Range<u64> = 200..210;
/// Time within which all tasks behind the front have to start.
const START_LIMIT_MS: u64 = 300;

/// Returns a harness with runners that have free capacity, and jobs of one step each at the front that find none.
fn with_blocked_front(blocked: impl Fn() -> Step) -> Harness {
    let mut harness = Harness::new(4, 1);
    harness.task_duration = |_| None;
    harness.run_ms(100);
    for id in FRONT {
        harness.submit(id, vec![blocked()]);
    }
    harness.run_ms(100);
    harness
}

/// Submits the jobs behind, and returns how many of their tasks run in time.
fn started_behind(harness: &mut Harness) -> usize {
    harness.run_ms(20);
    for id in BEHIND {
        harness.submit(id, vec![step(1)]);
    }
    harness.run_ms(START_LIMIT_MS);
    let is_behind = |task: &String| {
        let job = task.split('.').next().unwrap_or_default();
        u64::from_str_radix(job, 16).is_ok_and(|job| BEHIND.contains(&job))
    };
    let ids: Vec<String> = harness.runners.keys().cloned().collect();
    let running = ids.iter().flat_map(|id| harness.running(id));
    running.filter(is_behind).count()
}

/// Guards against jobs that never start although most of a pool is free, because long-running tasks at the front wait for
/// the runner that was lost: each has one task on each other runner.
#[test]
fn jobs_start_behind_long_running_tasks_that_wait_for_a_lost_runner() {
    let tiny = || Step {
        need: Resource {
            cpu: 10,
            memory: 1,
            gpu: 0,
        },
        ..long_running(5, 1)
    };
    let mut harness = with_blocked_front(tiny);
    let count = FRONT.count() * 4;
    assert_eq!(harness.running_count(), count, "{}", harness.timeline());
    assert_eq!(started_behind(&mut harness), BEHIND.count());
}

/// Guards against the same fault of jobs that need a label which no runner has.
#[test]
fn jobs_start_behind_those_whose_label_no_runner_has() {
    let labelled = || Step {
        label: Some("rare".into()),
        ..long_running(1, 1)
    };
    let mut harness = with_blocked_front(labelled);
    assert_eq!(started_behind(&mut harness), BEHIND.count());
}

/// Guards against the same fault of jobs that need more than any runner has.
#[test]
fn jobs_start_behind_those_that_are_too_large_for_any_runner() {
    let large = || Step {
        need: Resource {
            cpu: 1_000 * RUNNER_SLOTS + 1,
            memory: 100,
            gpu: 0,
        },
        ..long_running(1, 1)
    };
    let mut harness = with_blocked_front(large);
    assert_eq!(started_behind(&mut harness), BEHIND.count());
}

/// Guards against the same fault of jobs that need an empty runner while a small task runs on each.
#[test]
fn jobs_start_behind_those_that_need_an_empty_runner() {
    let mut harness = Harness::new(4, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![long_running(4, 1)]);
    harness.run_ms(200);
    for id in FRONT {
        let whole = Step {
            need: Resource {
                cpu: 1_000 * RUNNER_SLOTS,
                memory: 100,
                gpu: 0,
            },
            ..long_running(1, 1)
        };
        harness.submit(id, vec![whole]);
    }
    assert_eq!(started_behind(&mut harness), BEHIND.count());
}

/// Guards against a turn that always begins at the same place, so that jobs behind those that had one never start.
#[test]
fn every_job_behind_gets_its_turn() {
    let labelled = || Step {
        label: Some("rare".into()),
        ..step(1)
    };
    let mut harness = with_blocked_front(labelled);
    // These come after the jobs at the front and before the others, and find no runner either.
    for id in 300..400 {
        harness.submit(id, vec![labelled()]);
    }
    assert_eq!(started_behind(&mut harness), BEHIND.count());
}

/// Guards against jobs that overtake those at the front while the pool is full.
#[test]
fn jobs_behind_do_not_overtake_in_a_full_pool() {
    let mut harness = Harness::new(2, 1);
    harness.task_duration = |_| Some(Duration::from_millis(400));
    harness.submit(1, vec![step(8)]);
    harness.run_ms(60);
    for id in FRONT {
        harness.submit(id, vec![step(1)]);
    }
    harness.run_ms(500);
    let started = FRONT.filter(|id| harness.timeline().contains(&format!("start {id:x}.")));
    assert_eq!(started.collect::<Vec<_>>(), (100..108).collect::<Vec<_>>());
}
