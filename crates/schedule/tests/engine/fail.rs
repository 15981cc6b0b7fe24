//! Failures of tasks and runners.

use crate::harness::{
    Harness,
    long_running,
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

/// Number of runners in the tests of jobs that always fail.
const RUNNERS: u16 = 12;

/// Lets jobs whose tasks all fail run beside a sound long-running task on each runner, for some seconds. Returns on how many
/// runners tasks of another job then start.
fn runners_beside_failing_jobs(failing: core::ops::Range<u64>) -> usize {
    let mut harness = Harness::new(usize::from(RUNNERS), 1);
    harness.task_duration = |task| (task.job != Id(1)).then_some(Duration::from_millis(300));
    harness.fails = |task, _, _| task.job.0 < 100;
    harness.submit(1, vec![long_running(RUNNERS, 1)]);
    harness.run_ms(200);
    for id in failing {
        harness.submit(id, vec![long_running(8, 1)]);
        harness.run_ms(100);
    }
    harness.run_ms(8_000);
    let probe = Step {
        max_per_runner: Some(1),
        ..step(RUNNERS)
    };
    harness.submit(100, vec![probe]);
    harness.run_ms(200);
    let names: Vec<String> = harness.runners.keys().cloned().collect();
    let probe = format!("{:016x}", 100);
    let runs_probe = |name: &&String| {
        let mut running = harness.running(name).into_iter();
        running.any(|task| task.starts_with(&probe))
    };
    names.iter().filter(runs_probe).count()
}

/// Guards against one long-running job whose runs all fail bringing all runners of its pool into quarantine, so that no
/// other job starts there.
#[test]
fn failing_job_does_not_close_runners_to_others() {
    assert_eq!(runners_beside_failing_jobs(2..3), usize::from(RUNNERS));
}

/// Guards against several jobs whose tasks all fail bringing more than a quarter of a pool into quarantine.
#[test]
fn failing_jobs_close_few_runners_to_others() {
    let open = runners_beside_failing_jobs(2..5);
    assert!(open >= usize::from(RUNNERS) * 3 / 4, "{open} of {RUNNERS}");
}
