//! Starts that got no answer and that a later incarnation of their runner carries out, before it has answered anybody.

use crate::harness::{
    Harness,
    Planned,
    long_running,
    step, //
};
use sassafrascrank_base::{
    fault::Cause,
    prelude::*, //
};
use sassafrascrank_job::{
    Id,
    Step,
    progress::Outcome, //
};
use sassafrascrank_schedule::{
    order::report::Failure,
    runner::Change, //
};

/// Duration of the tasks.
const DURATION: Duration = Duration::from_secs(8);

/// Returns a harness in which one runner of two has fallen silent just after it was sent the start of the only task.
fn with_unanswered_start(step: Step) -> Harness {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| Some(DURATION);
    if step.long_running {
        harness.task_duration = |_| None;
    }
    harness.run_ms(100);
    harness.faults.hold = Some("start");
    harness.submit(1, vec![step]);
    harness.decide();
    harness.unreachable.insert("r0".to_owned());
    harness.add_line("silent");
    harness.add_runner("r1", "pool", "rack1");
    harness
}

/// Restarts the silent runner, which carries out the start before it answers.
fn restart(harness: &mut Harness) {
    harness.restart_unlisted("r0");
    harness.add_line("restarted");
    let silent = core::mem::take(&mut harness.unreachable);
    harness.arrive();
    harness.unreachable = silent;
    harness.run_ms(40);
    harness.unreachable.clear();
    harness.list_runners();
    harness.add_line("reachable and listed");
}

/// Checks that the task has no two runs at once, and that it runs at the end.
fn check(harness: &mut Harness, name: &str) {
    harness.run_ms(2_000);
    assert_eq!(harness.overlaps(), 0, "{}", harness.timeline());
    insta::assert_snapshot!(name, harness.timeline());
    assert_eq!(harness.running_count(), 1);
}

/// Guards against a second run of a task whose start is carried out after the lease of the earlier incarnation has ended.
#[test]
fn start_that_the_next_incarnation_carries_out_runs_alone() {
    let mut harness = with_unanswered_start(step(1));
    harness.run_ms(5_400);
    restart(&mut harness);
    check(
        &mut harness,
        "start_that_the_next_incarnation_carries_out_runs_alone",
    );
}

/// Guards against the same fault of a long-running task, whose start goes on.
#[test]
fn long_running_start_that_the_next_incarnation_carries_out_goes_on() {
    let mut harness = with_unanswered_start(long_running(1, 1));
    harness.run_ms(5_400);
    restart(&mut harness);
    check(
        &mut harness,
        "long_running_start_that_the_next_incarnation_carries_out_goes_on",
    );
}

/// Guards against the same fault after a change of the leader. The log does not say which starts were answered.
#[test]
fn later_leader_waits_for_an_unanswered_start() {
    let mut harness = with_unanswered_start(step(1));
    harness.run_ms(1_000);
    harness.take_over();
    harness.run_ms(7_000);
    restart(&mut harness);
    check(&mut harness, "later_leader_waits_for_an_unanswered_start");
}

/// Guards against the same fault if another runner has answered at the address meanwhile, so that the incarnation is known to
/// have ended.
#[test]
fn start_is_carried_out_after_another_runner_has_answered() {
    let mut harness = with_unanswered_start(step(1));
    harness.run_ms(1_000);
    harness.faults.planned.push(Planned {
        id: "r0",
        call: "poll",
        count: 1,
        failure: Failure::Replaced,
        cause: Cause::Status,
        after: Duration::ZERO,
    });
    harness.run_ms(3_000);
    restart(&mut harness);
    check(
        &mut harness,
        "start_is_carried_out_after_another_runner_has_answered",
    );
}

/// Guards against the same fault if the incarnation is known to have ended while the start is on its way.
#[test]
fn start_is_carried_out_after_its_incarnation_has_ended() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| Some(DURATION);
    harness.run_ms(100);
    harness.faults.hold_timeout = Duration::from_millis(700);
    harness.faults.hold = Some("start");
    harness.submit(1, vec![step(1)]);
    harness.decide();
    harness.faults.planned.push(Planned {
        id: "r0",
        call: "poll",
        count: 1,
        failure: Failure::Replaced,
        cause: Cause::Status,
        after: Duration::ZERO,
    });
    harness.run_ms(200);
    harness.unreachable.insert("r0".to_owned());
    harness.add_runner("r1", "pool", "rack1");
    harness.run_ms(3_000);
    restart(&mut harness);
    check(
        &mut harness,
        "start_is_carried_out_after_its_incarnation_has_ended",
    );
}

/// Guards against a second run of a long-running task of which two copies of the start were sent. One was answered, and the other
/// one is carried out by the next incarnation.
#[test]
fn further_copy_of_an_answered_start_is_waited_for() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    harness.run_ms(100);
    harness.faults.hold = Some("start");
    harness.submit(1, vec![long_running(1, 1)]);
    harness.run_ms(700);
    assert_eq!(harness.running_count(), 1, "{}", harness.timeline());
    harness.unreachable.insert("r0".to_owned());
    harness.add_line("silent");
    harness.add_runner("r1", "pool", "rack1");
    harness.run_ms(5_000);
    restart(&mut harness);
    check(
        &mut harness,
        "further_copy_of_an_answered_start_is_waited_for",
    );
}

/// Guards against a gang whose later attempt starts while a member of the earlier one may still start.
#[test]
fn gang_waits_for_the_unanswered_start_of_a_member() {
    let mut harness = Harness::new(2, 1);
    harness.task_duration = |_| Some(DURATION);
    harness.run_ms(100);
    harness.faults.hold = Some("start");
    let gang = Step {
        gang: true,
        max_per_runner: Some(1),
        ..step(2)
    };
    harness.submit(1, vec![gang]);
    harness.decide();
    let held = match harness.running("r0").is_empty() {
        true => "r0",
        false => "r1",
    };
    assert_eq!(held, "r0", "{}", harness.timeline());
    harness.unreachable.insert(held.to_owned());
    harness.add_line("silent");
    harness.add_runner("r2", "pool", "rack2");
    harness.run_ms(5_400);
    restart(&mut harness);
    harness.run_ms(2_000);
    assert_eq!(harness.overlaps(), 0, "{}", harness.timeline());
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(harness.running_count(), 2);
}

/// Guards against a task that waits for good for a runner that is gone.
#[test]
fn task_starts_elsewhere_once_its_unanswered_start_can_not_arrive() {
    let mut harness = with_unanswered_start(step(1));
    harness.run_ms(14_000);
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(harness.running("r1").len(), 1);
}

/// Guards against a long-running task that is not back within 9 s of its last run, as its users ask.
#[test]
fn long_running_task_starts_elsewhere_in_time() {
    let mut harness = with_unanswered_start(long_running(1, 1));
    harness.run_ms(6_500);
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(harness.running("r1").len(), 1);
}

/// Guards against a later attempt that starts while the runner still stops a run that it has begun too late.
#[test]
fn run_that_began_after_the_wait_goes_on_if_its_task_has_no_other() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| Some(DURATION);
    harness.run_ms(100);
    harness.faults.hold = Some("start");
    harness.submit(1, vec![step(1)]);
    harness.decide();
    harness.unreachable.insert("r0".to_owned());
    harness.run_ms(13_000);
    restart(&mut harness);
    harness.set_stop_time(Duration::from_millis(600));
    harness.add_runner("r1", "pool", "rack1");
    check(
        &mut harness,
        "run_that_began_after_the_wait_goes_on_if_its_task_has_no_other",
    );
}

/// Guards against a wait that goes on although the next incarnation rejects the start.
#[test]
fn wait_for_a_start_ends_with_the_first_answer_of_the_next_incarnation() {
    let mut harness = with_unanswered_start(step(1));
    harness.run_ms(3_000);
    harness.restart_unlisted("r0");
    harness.unreachable.clear();
    harness.add_line("restarted and reachable");
    harness.run_ms(600);
    assert_eq!(harness.running_count(), 1, "{}", harness.timeline());
    harness.arrive();
    harness.list_runners();
    check(
        &mut harness,
        "wait_for_a_start_ends_with_the_first_answer_of_the_next_incarnation",
    );
}

/// Guards against a wait that goes on although the host of the runner has another one, so that the runner will not start again.
#[test]
fn wait_for_a_start_ends_once_the_host_has_another_runner() {
    let mut harness = with_unanswered_start(step(1));
    harness.faults.planned.push(Planned {
        id: "r0",
        call: "poll",
        count: 1,
        failure: Failure::Replaced,
        cause: Cause::Status,
        after: Duration::ZERO,
    });
    harness.run_ms(3_000);
    assert_eq!(harness.running_count(), 0, "{}", harness.timeline());
    let mut later = harness.runners["r0"].listed.clone();
    later.id = "r0+".into();
    later.incarnation = harness.time().as_millis();
    let now = harness.time();
    harness.engine.update_runner(Change::Set(later), now);
    harness.run_ms(100);
    assert_eq!(harness.running("r1").len(), 1, "{}", harness.timeline());
}

/// Guards against a wait that goes on although the runner has not restarted: it rejects the start since its lease ended.
#[test]
fn wait_for_a_start_ends_with_the_next_answer_of_its_incarnation() {
    let mut harness = with_unanswered_start(step(1));
    harness.run_ms(3_000);
    harness.unreachable.clear();
    harness.add_line("reachable");
    harness.run_ms(300);
    assert_eq!(harness.running_count(), 1, "{}", harness.timeline());
    harness.arrive();
    check(
        &mut harness,
        "wait_for_a_start_ends_with_the_next_answer_of_its_incarnation",
    );
}

/// Guards against waits where two runs of a task are allowed.
#[test]
fn start_of_a_speculative_task_is_not_waited_for() {
    let speculative = Step {
        speculative: true,
        ..step(1)
    };
    let mut harness = with_unanswered_start(speculative);
    harness.run_ms(4_000);
    assert_eq!(harness.running("r1").len(), 1, "{}", harness.timeline());
}

/// Guards against delays of tasks whose starts were answered: their ordinary leases bound them.
#[test]
fn answered_start_at_a_silent_runner_is_not_waited_for() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| Some(DURATION);
    harness.submit(1, vec![step(1)]);
    harness.run_ms(100);
    harness.unreachable.insert("r0".to_owned());
    harness.add_runner("r1", "pool", "rack1");
    harness.run_ms(4_200);
    assert_eq!(harness.running("r1").len(), 1, "{}", harness.timeline());
}

/// Guards against a job that is given up because starts of its task that were waited for count as crashes of their runner, after a
/// change of the leader. None of them is known to have begun.
#[test]
fn starts_that_a_former_leader_waited_for_are_no_crashes() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| Some(DURATION);
    harness.run_ms(100);
    harness.submit(1, vec![step(1)]);
    let lose_start = |harness: &mut Harness| {
        harness.faults.hold = Some("start");
        while harness.faults.hold.is_some() {
            harness.run_ms(20);
        }
    };
    for _ in 0..3 {
        lose_start(&mut harness);
    }
    // The next attempt is at another runner.
    harness.drain("r0");
    harness.add_runner("r1", "pool", "rack1");
    lose_start(&mut harness);
    harness.drain("r1");
    harness.run_ms(60);
    for runner in harness.runners.values_mut() {
        runner.listed.draining = None;
    }
    harness.unreachable = ["r0".to_owned(), "r1".to_owned()].into();
    harness.add_line("silent");
    harness.run_ms(3_000);
    harness.take_over();
    harness.run_ms(200);
    let mut later = harness.runners["r0"].listed.clone();
    later.id = "r0+".into();
    later.incarnation = harness.time().as_millis();
    let now = harness.time();
    harness.engine.update_runner(Change::Set(later), now);
    harness.run_ms(4_000);
    harness.unreachable.clear();
    harness.run_ms(1_000);
    assert_eq!(harness.running("r1").len(), 1, "{}", harness.timeline());
}

/// Guards against a second run of a task that a former leader waited with, whose start the next incarnation carries out.
#[test]
fn later_leader_goes_on_waiting_for_a_start() {
    let mut harness = with_unanswered_start(step(1));
    harness.run_ms(4_000);
    harness.take_over();
    harness.run_ms(3_000);
    harness.take_over_after_resignation();
    harness.run_ms(2_000);
    restart(&mut harness);
    check(&mut harness, "later_leader_goes_on_waiting_for_a_start");
}

/// Guards against a job that is not ended when it is cancelled while a start of it is waited for.
#[test]
fn cancelled_job_ends_although_a_start_of_it_is_waited_for() {
    let mut harness = with_unanswered_start(step(1));
    harness.run_ms(4_000);
    harness.engine.cancel(Id(1), harness.time());
    harness.run_ms(100);
    let outcome = harness.stored_progress[&Id(1)].outcome;
    assert_eq!(outcome, Some(Outcome::Cancelled), "{}", harness.timeline());
    restart(&mut harness);
    harness.run_ms(2_000);
    assert_eq!(harness.running_count(), 0, "{}", harness.timeline());
}
