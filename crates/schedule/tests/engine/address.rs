//! Runners whose entries name another address while orders are on their way to the former one.

use crate::harness::{
    Harness,
    Planned,
    step, //
};
use sassafrascrank_base::{
    fault::Cause,
    prelude::*, //
};
use sassafrascrank_job::Step;
use sassafrascrank_schedule::order::report::Failure;

/// Duration of the tasks.
const DURATION: Duration = Duration::from_secs(20);
/// Time in which the answers to some calls arrive.
const DELAY: Duration = Duration::from_millis(100);

/// Submits a job of three tasks.
fn submit(harness: &mut Harness, id: u64) {
    let tasks = Step {
        estimate: DURATION,
        ..step(3)
    };
    harness.submit(id, vec![tasks]);
}

/// Returns a harness with one runner, which has room left.
fn with_runs() -> Harness {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| Some(DURATION);
    submit(&mut harness, 1);
    harness.run_ms(1_000);
    assert_eq!(harness.running("r0").len(), 3, "{}", harness.timeline());
    harness.add_runner("r1", "pool", "rack1");
    harness
}

/// Lets another runner answer the next calls of a kind, which are sent to the address of the first runner.
fn answer_for_another(harness: &mut Harness, call: &'static str, count: usize) {
    harness.faults.planned.push(Planned {
        id: "r0",
        call,
        count,
        failure: Failure::Replaced,
        cause: Cause::Status,
        after: DELAY,
    });
}

/// Runs until another runner has answered a call, and then lists the first one at another address.
fn readdress_after_answer(harness: &mut Harness) {
    while harness.faults.planned[0].count > 0 {
        harness.run_ms(20);
    }
    readdress(harness);
}

/// Lists the first runner at another address.
fn readdress(harness: &mut Harness) {
    let runner = harness.runners.get_mut("r0").expect("the runner exists");
    runner.listed.address.set_port(2);
    harness.list_runners();
    harness.add_line("another address");
}

/// Guards against a second run of tasks whose runner lives on: another runner has answered a poll at its former address.
#[test]
fn answer_to_a_poll_at_a_former_address_does_not_end_the_runner() {
    let mut harness = with_runs();
    harness.run_ms(200);
    answer_for_another(&mut harness, "poll", 1);
    readdress_after_answer(&mut harness);
    harness.run_ms(2_000);
    assert_eq!(harness.overlaps(), 0, "{}", harness.timeline());
    assert_eq!(harness.running("r0").len(), 3, "{}", harness.timeline());
}

/// Guards against the same fault by the answer to a start.
#[test]
fn answer_to_a_start_at_a_former_address_does_not_end_the_runner() {
    let mut harness = with_runs();
    harness.unreachable.insert("r1".to_owned());
    harness.run_ms(200);
    answer_for_another(&mut harness, "start", 1);
    submit(&mut harness, 2);
    readdress_after_answer(&mut harness);
    harness.unreachable.clear();
    harness.run_ms(2_000);
    assert_eq!(harness.overlaps(), 0, "{}", harness.timeline());
    assert!(harness.running("r0").len() >= 3, "{}", harness.timeline());
}

/// Guards against the same fault by the answer to a stop.
#[test]
fn answer_to_a_stop_at_a_former_address_does_not_end_the_runner() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| Some(DURATION);
    submit(&mut harness, 1);
    let cancelled = harness.submit(2, vec![step(1)]);
    harness.run_ms(1_000);
    harness.add_runner("r1", "pool", "rack1");
    harness.run_ms(200);
    answer_for_another(&mut harness, "stop", 1);
    harness.engine.cancel(cancelled.id, harness.time());
    readdress_after_answer(&mut harness);
    harness.run_ms(2_000);
    assert_eq!(harness.overlaps(), 0, "{}", harness.timeline());
    assert_eq!(harness.running("r0").len(), 3, "{}", harness.timeline());
}

/// Guards against losses that are noticed late: a runner at whose present address another one answers has ended.
#[test]
fn answer_at_the_present_address_ends_the_runner_at_once() {
    let mut harness = with_runs();
    readdress(&mut harness);
    harness.run_ms(2_000);
    harness.unreachable.insert("r0".to_owned());
    answer_for_another(&mut harness, "poll", 1);
    harness.run_ms(700);
    assert_eq!(harness.running("r1").len(), 3, "{}", harness.timeline());
}
