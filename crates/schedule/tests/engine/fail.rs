//! Failures of tasks and runners.

use crate::harness::{
    Harness,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;

/// Guards against attempts beyond the number that the queue allows, and against a job that never ends because of failed
/// tasks.
#[test]
fn job_fails_after_its_attempts() {
    let mut harness = Harness::new(2, 1);
    harness.fails = |task, _, _| task.position.index == 0;
    harness.submit(1, vec![step(2)]);
    harness.run_ms(3_000);
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(
        harness.stored_progress[&Id(1)].outcome,
        Some(Ending::Failed)
    );
}

/// Guards against a runner that fails every task using up the attempts of all jobs.
#[test]
fn runner_that_fails_everything_gets_no_more_work() {
    let mut harness = Harness::new(3, 1);
    harness.task_duration = |_| Some(Duration::from_millis(100));
    harness.fails = |_, _, runner| runner == "r0";
    for id in 1..20 {
        harness.submit(id, vec![step(2)]);
        harness.run_ms(60);
    }
    harness.run_ms(2_000);
    let failed = harness
        .stored_progress
        .values()
        .filter(|progress| progress.outcome == Some(Ending::Failed));
    assert_eq!(failed.count(), 0);
    let done = harness
        .stored_progress
        .values()
        .filter(|progress| progress.outcome == Some(Ending::Done));
    assert_eq!(done.count(), 19);
}

/// Guards against a long-running task that is given up after failures or does not restart after it ends.
#[test]
fn long_running_task_restarts_however_it_ends() {
    let mut harness = Harness::new(2, 1);
    harness.task_duration = |_| None;
    harness.fails = |_, attempt, _| attempt < 4;
    harness.task_duration = |_| Some(Duration::from_millis(200));
    harness.submit(
        1,
        vec![Step {
            long_running: true,
            ..step(1)
        }],
    );
    harness.run_ms(2_000);
    insta::assert_snapshot!(harness.timeline());
}
