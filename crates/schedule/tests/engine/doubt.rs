//! Starts of long-running tasks that get no answer.

use crate::harness::{
    Harness,
    long_running, //
};
use sassafrascrank_base::prelude::*;

/// Guards against stops of starts in doubt, which end tasks that work without regard to the budget of their step.
#[test]
fn long_running_tasks_whose_starts_were_not_answered_go_on() {
    let mut harness = Harness::new(4, 1);
    harness.task_duration = |_| None;
    harness.starts_unanswered = true;
    harness.submit(1, vec![long_running(3, 1)]);
    harness.run_ms(600);
    harness.starts_unanswered = false;
    harness.run_ms(1_500);
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(harness.running_count(), 3);
}

/// Guards against a task that waits for good for a runner which never got the start, although it answers again.
#[test]
fn start_that_was_lost_is_repeated_where_it_was_ordered() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    harness.run_ms(100);
    harness.unreachable.insert("r0".to_owned());
    harness.submit(1, vec![long_running(1, 1)]);
    harness.run_ms(300);
    harness.unreachable.clear();
    harness.add_line("reachable");
    harness.run_ms(1_500);
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(harness.running_count(), 1);
}

/// Guards against a repeated stop that takes a second task of a step away, since the first order to stop did not arrive
/// and the runner of another task has failed meanwhile.
#[test]
fn stop_is_not_repeated_beyond_the_budget() {
    let mut harness = Harness::new(5, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![long_running(3, 1)]);
    harness.run_ms(1_000);
    let occupied: Vec<_> = harness
        .runners
        .iter()
        .filter(|(_, runner)| !runner.worker.runs.is_empty())
        .map(|(id, runner)| (id.clone(), runner.listed.host.clone()))
        .collect();
    let (first, host) = &occupied[0];
    let (second, _) = &occupied[1];
    harness.unreachable.insert(first.clone());
    let (hosts, now) = (vec![host.clone()], harness.time());
    harness
        .engine
        .add_wave(1, hosts, Duration::from_secs(10), 1, None, now);
    harness.run_ms(200);
    let ordered = harness.timeline().matches("stop").count();
    harness.unreachable.insert(second.clone());
    harness.unreachable.remove(first);
    harness.run_ms(2_000);
    let repeated = harness.timeline().matches("stop").count() - ordered;
    assert_eq!((ordered, repeated), (1, 0), "{}", harness.timeline());
}
