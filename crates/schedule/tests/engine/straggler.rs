//! Runners on which tasks are slow or make no progress.

use crate::harness::{
    Harness,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;

/// Creates a harness with three runners, the first of which is slower by `factor`, and with four jobs.
fn harness(factor: u32, make: impl Fn() -> Step) -> Harness {
    let mut harness = Harness::new(3, 1);
    harness.slowdown.insert("r0".to_owned(), factor);
    harness.task_duration = |_| Some(Duration::from_millis(400));
    for id in 1..=4 {
        harness.submit(id, vec![make()]);
    }
    harness
}

fn small() -> Step {
    Step {
        estimate: Duration::from_millis(400),
        ..step(3)
    }
}

fn ended(harness: &Harness) -> usize {
    let done = |progress: &&std::sync::Arc<Progress>| progress.outcome == Some(Ending::Done);
    harness.stored_progress.values().filter(done).count()
}

/// Guards against jobs that wait for a runner on which every task takes ten times as long.
#[test]
fn runs_on_a_slow_runner_start_again_elsewhere() {
    let mut harness = harness(10, small);
    harness.run_ms(2_000);
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(ended(&harness), 4);
    assert_eq!(harness.overlaps(), 0);
}

/// Guards against jobs that wait for a runner on which tasks make no progress.
#[test]
fn runs_on_a_runner_that_stands_still_start_again_elsewhere() {
    let mut harness = harness(10_000, small);
    harness.run_ms(3_000);
    assert_eq!(ended(&harness), 4, "{}", harness.timeline());
    assert_eq!(harness.overlaps(), 0);
}

/// Guards against a speculative task that waits for its slow first run, and against runs that are left over once it is
/// done.
#[test]
fn speculative_task_on_a_slow_runner_gets_a_second_run() {
    let speculative = || Step {
        speculative: true,
        ..small()
    };
    let mut harness = harness(10, speculative);
    harness.run_ms(1_400);
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(ended(&harness), 4);
    harness.run_ms(1_000);
    assert_eq!(harness.running_count(), 0);
}

/// Guards against tasks that are restarted again and again because they take longer than the caller's estimate.
#[test]
fn job_that_is_larger_than_estimated_runs_to_its_end() {
    let mut harness = Harness::new(2, 1);
    harness.task_duration = |_| Some(Duration::from_millis(4_000));
    harness.submit(1, vec![small()]);
    harness.run_ms(6_000);
    assert_eq!(harness.timeline().matches("start").count(), 3);
    assert_eq!(ended(&harness), 1);
}

/// Guards against tasks that are restarted for ever, and against a pool that is quarantined as a whole, because runners
/// report no progress.
#[test]
fn tasks_end_although_runners_show_no_progress() {
    let mut harness = Harness::new(4, 1);
    harness.hide_progress = true;
    harness.task_duration = |_| Some(Duration::from_millis(2_000));
    for id in 1..=4 {
        harness.submit(id, vec![small()]);
    }
    harness.run_ms(20_000);
    assert_eq!(ended(&harness), 4, "{}", harness.timeline());
}
