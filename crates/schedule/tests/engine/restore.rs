//! Runs of former leaders whose runners have ended before the present leader could ask them.

use crate::harness::{
    Harness,
    long_running,
    step, //
};
use sassafrascrank_job::prelude::*;

/// Returns a harness with a task that does not end, and the time for which it has run in milliseconds.
fn with_run(millis: u64) -> Harness {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![step(1)]);
    harness.run_ms(100 + millis);
    harness
}

/// Lets another leader take over that finds a later runner on the host, under the same name or another one. It does not
/// find out how long the next run goes on.
fn take_over_from_ended_runner(harness: &mut Harness, renamed: bool) {
    harness.restart_unlisted("r0");
    let mut list = harness.service_list();
    if renamed {
        let name = format!("r0-{}", list[0].incarnation);
        list[0].id = name.as_str().into();
        let runner = harness.runners.remove("r0").expect("the runner exists");
        harness.runners.insert(name, runner);
    }
    harness.take_over_with(list);
    harness.decide();
}

fn crashes(harness: &Harness) -> u8 {
    let tasks = &harness.stored_progress[&Id(1)].tasks;
    tasks.iter().map(|task| task.crashes).sum()
}

/// Guards against a crash that is counted against a run which had worked for long when its runner ended.
#[test]
fn runner_of_a_long_run_that_has_ended_does_not_count() {
    for renamed in [false, true] {
        let mut harness = with_run(20_000);
        take_over_from_ended_runner(&mut harness, renamed);
        harness.run_ms(60);
        assert_eq!(crashes(&harness), 0, "{renamed} {}", harness.timeline());
    }
}

/// Guards against a crash that is counted although a former leader has ordered the host to move.
#[test]
fn runner_of_a_host_that_was_ordered_away_does_not_count() {
    for renamed in [false, true] {
        let mut harness = with_run(100);
        harness.store_host_order("host-r0");
        take_over_from_ended_runner(&mut harness, renamed);
        harness.run_ms(60);
        assert_eq!(crashes(&harness), 0, "{renamed} {}", harness.timeline());
    }
}

/// Guards against a pause after crashes that begins anew with each leader.
#[test]
fn pause_of_a_long_running_task_goes_on_under_the_next_leader() {
    let mut harness = Harness::new(6, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![long_running(1, 1)]);
    for _ in 0..3 {
        harness.run_ms(200);
        let mut ids = harness.runners.keys();
        let id = ids.find(|id| !harness.running(id).is_empty()).cloned();
        harness.restart_runner(&id.expect("the task runs"));
    }
    for _ in 0..2 {
        harness.run_ms(1_000);
        harness.take_over();
    }
    // The pause takes 3 s.
    harness.run_ms(1_300);
    assert_eq!(harness.running_count(), 1, "{}", harness.timeline());
}

/// Guards against a crash that is counted although the runner was about to leave.
#[test]
fn runner_that_was_draining_does_not_count() {
    let mut harness = with_run(100);
    harness.drain("r0");
    harness.run_ms(400);
    take_over_from_ended_runner(&mut harness, true);
    assert_eq!(crashes(&harness), 0, "{}", harness.timeline());
}

/// Guards against a job that is given up because of runners of which no leader knows how they ended.
#[test]
fn job_is_not_given_up_for_runners_whose_end_is_unknown() {
    let mut harness = with_run(100);
    for _ in 0..4 {
        let name = harness.runners.keys().next().expect("a runner").clone();
        let mut list = harness.service_list();
        list[0].id = format!("{name}+").as_str().into();
        list[0].incarnation += 100;
        let mut runner = harness.runners.remove(&name).expect("the runner exists");
        runner.listed = list[0].clone();
        harness.runners.insert(format!("{name}+"), runner);
        harness.restart_unlisted(&format!("{name}+"));
        let list = harness.service_list();
        harness.take_over_with(list);
        harness.run_ms(200);
    }
    harness.run_ms(10_000);
    assert_eq!(
        harness.stored_progress[&Id(1)].outcome,
        None,
        "{}",
        harness.timeline()
    );
    assert_eq!(harness.running_count(), 1, "{}", harness.timeline());
}

/// Waits for the next start of the only task, and returns the runner.
fn next_start(harness: &mut Harness) -> String {
    for _ in 0..500 {
        let mut ids = harness.runners.keys();
        if let Some(id) = ids.find(|id| !harness.running(id).is_empty()) {
            return id.clone();
        }
        harness.run_ms(20);
    }
    panic!("the task has not started again: {}", harness.timeline());
}

/// Guards against a job that is given up for runs whose length the new leader does not know, because their runners have
/// restarted under their names.
#[test]
fn job_is_not_given_up_for_runners_that_restarted_before_a_change_of_the_leader() {
    let mut harness = with_run(700);
    for _ in 0..4 {
        take_over_from_ended_runner(&mut harness, false);
        next_start(&mut harness);
    }
    let progress = &harness.stored_progress[&Id(1)];
    assert_eq!(progress.outcome, None, "{}", harness.timeline());
}

/// Guards against a leader that takes its own lack of knowledge of other crashes for proof against a task.
#[test]
fn job_in_a_series_of_crashes_is_not_given_up_by_the_next_leader() {
    let mut harness = Harness::new(6, 1);
    harness.task_duration = |_| Some(core::time::Duration::from_secs(3));
    harness.submit(1, vec![step(1)]);
    for crash in 0..3 {
        let id = next_start(&mut harness);
        harness.run_ms(60);
        let mut ids = harness.runners.keys();
        let idle = ids.find(|id| harness.running(id).is_empty()).cloned();
        harness.restart_runner(&idle.expect("a runner is idle"));
        harness.restart_runner(&id);
        if crash == 2 {
            harness.run_ms(100);
            harness.take_over();
        }
    }
    harness.run_ms(10_000);
    let progress = &harness.stored_progress[&Id(1)];
    assert_eq!(
        progress.outcome,
        Some(Ending::Done),
        "{}",
        harness.timeline()
    );
}

/// Guards against a task whose crashes are forgotten because one of its runners begins to drain.
#[test]
fn draining_runner_does_not_clear_the_crashes_of_its_tasks() {
    let mut harness = Harness::new(6, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![step(1)]);
    for _ in 0..2 {
        let id = next_start(&mut harness);
        harness.run_ms(60);
        harness.restart_runner(&id);
        harness.run_ms(60);
    }
    let id = next_start(&mut harness);
    harness.drain(&id);
    harness.run_ms(200);
    assert_eq!(crashes(&harness), 2, "{}", harness.timeline());
}
