//! Failed calls to runners.

use crate::harness::{
    Harness,
    Planned,
    long_running, //
};
use sassafrascrank_base::{
    fault::Cause,
    prelude::*, //
};
use sassafrascrank_schedule::order::report::Failure;

fn planned(call: &'static str, failure: Failure, cause: Cause) -> Planned {
    Planned {
        id: "r0",
        call,
        count: 1,
        failure,
        cause,
        after: Duration::ZERO,
    }
}

/// Guards against log lines that show a runner which never answered like one that answered a moment ago, and that don't
/// say which call failed and how.
#[test]
fn lost_runner_tells_what_failed_and_whether_it_has_answered() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    let unsent = planned("poll", Failure::Unsent, Cause::Refused);
    harness.faults.planned.push(unsent);
    harness.run_ms(600);
    let unsent = planned("start", Failure::Unsent, Cause::ClosedIdle);
    harness.faults.planned.push(unsent);
    harness.submit(1, vec![long_running(1, 1)]);
    harness.run_ms(1_000);
    let unknown = planned("poll", Failure::Unknown, Cause::Reset);
    harness.faults.planned.push(unknown);
    harness.run_ms(1_000);
    insta::assert_snapshot!(harness.faults.notes.join("\n"));
}

/// Guards against a sound runner that gets no tasks for longer than a repeat takes, because one call was refused.
#[test]
fn failed_poll_is_repeated_at_once() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    harness.faults.hold_polls = true;
    harness.submit(1, vec![long_running(1, 1)]);
    harness.run_ms(2_000);
    let refused = planned("poll", Failure::Unsent, Cause::Refused);
    harness.faults.planned.push(refused);
    harness.run_ms(4_000);
    insta::assert_snapshot!(harness.faults.notes.join("\n"));
}

/// Guards against a runner that counts as lost because this process lacks a file descriptor for a start. The
/// poll that would find it is held open meanwhile.
#[test]
fn start_without_a_descriptor_says_nothing_about_the_runner() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    harness.faults.hold_polls = true;
    harness.submit(1, vec![long_running(1, 1)]);
    harness.run_ms(2_000);
    let unsent = planned("start", Failure::Unsent, Cause::NoDescriptor);
    harness.faults.planned.push(unsent);
    harness.add_line("no descriptor");
    harness.submit(2, vec![long_running(1, 1)]);
    harness.run_ms(2_000);
    insta::assert_snapshot!(harness.timeline());
    assert!(
        harness.faults.notes.is_empty(),
        "{:?}",
        harness.faults.notes
    );
}

/// Guards against a run whose first lease ends because the poll that should have renewed it got no answer. The leader
/// learns that only after the time for which the runner may hold the poll open.
#[test]
fn run_outlives_the_loss_of_the_poll_after_its_start() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    harness.faults.hold_polls = true;
    harness.run_ms(100);
    harness.faults.planned.push(Planned {
        after: Duration::from_millis(600),
        ..planned("poll", Failure::Unknown, Cause::Timeout)
    });
    harness.submit(1, vec![long_running(1, 1)]);
    harness.run_ms(6_000);
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(harness.running_count(), 1);
}

/// Guards against a run whose first lease ends because a poll that was sent before the start, and asks for no lease, is held open
/// and gets no answer.
#[test]
fn run_outlives_the_loss_of_the_poll_before_its_start() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    harness.faults.hold_polls = true;
    // The idle runner is asked when the run has been planned and is not in the log yet.
    harness.run_ms(2_000);
    harness.faults.planned.push(Planned {
        after: Duration::from_millis(600),
        ..planned("poll", Failure::Unknown, Cause::Timeout)
    });
    harness.submit(1, vec![long_running(1, 1)]);
    harness.run_ms(6_000);
    let history = &harness.runners["r0"].worker.history;
    assert!(history.is_empty(), "{history:?}");
}
