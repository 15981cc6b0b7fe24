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
    runner::{
        Change,
        Listed, //
    },
};

/// Duration of the tasks.
const DURATION: Duration = Duration::from_secs(8);

/// Returns a harness in which the start of the only task is held up. The engine learns after the time that it got no answer.
fn with_start_in_doubt(step: Step, timeout: Duration) -> Harness {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| Some(DURATION);
    if step.long_running {
        harness.task_duration = |_| None;
    }
    harness.run_ms(100);
    harness.faults.hold_timeout = timeout;
    harness.faults.hold = Some("start");
    harness.submit(1, vec![step]);
    harness.decide();
    harness
}

/// Makes the first runner silent, and adds another one.
fn silence(harness: &mut Harness) {
    harness.unreachable.insert("r0".to_owned());
    harness.add_line("silent");
    harness.add_runner("r1", "pool", "rack1");
}

/// Returns a harness in which the runner has fallen silent just after it was sent the start of the only task.
fn with_unanswered_start(step: Step) -> Harness {
    let mut harness = with_start_in_doubt(step, Duration::ZERO);
    silence(&mut harness);
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

/// Lets another runner answer the next poll at the address of the silent one.
fn answer_for_another(harness: &mut Harness) {
    harness.faults.planned.push(Planned {
        id: "r0",
        call: "poll",
        count: 1,
        failure: Failure::Replaced,
        cause: Cause::Status,
        after: Duration::ZERO,
    });
}

/// Lists another runner on the host of the silent one.
fn reuse_host(harness: &mut Harness) {
    let now = harness.time();
    let later = Listed {
        id: "r0+".into(),
        incarnation: now.as_millis(),
        ..harness.runners["r0"].listed.clone()
    };
    harness.engine.update_runner(Change::Set(later), now);
}

/// Checks that the task has no two runs at once, and that it runs at the end.
fn check(harness: &mut Harness, name: &str) {
    harness.run_ms(2_000);
    assert_eq!(harness.overlaps(), 0, "{}", harness.timeline());
    insta::assert_snapshot!(name, harness.timeline());
    assert_eq!(harness.running_count(), 1);
}

/// Guards against a second run of a task whose start is carried out after the lease of the earlier incarnation has ended. The run
/// that has begun so goes on, also of a long-running task.
#[test]
fn start_that_the_next_incarnation_carries_out_runs_alone() {
    for (name, step) in [("ordinary", step(1)), ("long_running", long_running(1, 1))] {
        let mut harness = with_unanswered_start(step);
        harness.run_ms(5_400);
        restart(&mut harness);
        check(&mut harness, &format!("next_incarnation_{name}"));
    }
}

/// Guards against the same fault after changes of the leader, before and while the task waits. The log does not say which starts
/// were answered.
#[test]
fn later_leader_waits_for_an_unanswered_start() {
    for (name, millis) in [("before", 1_000), ("meanwhile", 4_000)] {
        let mut harness = with_unanswered_start(step(1));
        harness.run_ms(millis);
        harness.take_over();
        harness.run_ms(3_000);
        harness.take_over_after_resignation();
        harness.run_ms(4_000);
        restart(&mut harness);
        check(&mut harness, &format!("later_leader_{name}"));
    }
}

/// Guards against the same fault if another runner has answered at the address, so that the incarnation is known to have ended,
/// after the start got no answer or while it was on its way.
#[test]
fn start_of_an_ended_incarnation_is_waited_for() {
    for (name, millis) in [("unanswered", 0), ("in_flight", 700)] {
        let mut harness = with_start_in_doubt(step(1), Duration::from_millis(millis));
        answer_for_another(&mut harness);
        harness.run_ms(200);
        silence(&mut harness);
        harness.run_ms(3_000);
        restart(&mut harness);
        check(&mut harness, &format!("ended_incarnation_{name}"));
    }
}

/// Guards against a second run of a long-running task of which two copies of the start were sent. One was answered, and the other
/// one is carried out by the next incarnation.
#[test]
fn further_copy_of_an_answered_start_is_waited_for() {
    let mut harness = with_start_in_doubt(long_running(1, 1), Duration::ZERO);
    harness.run_ms(700);
    assert_eq!(harness.running_count(), 1, "{}", harness.timeline());
    silence(&mut harness);
    harness.run_ms(5_000);
    restart(&mut harness);
    check(&mut harness, "further_copy");
}

/// Guards against a later leader that waits although the service list shows another runner on the host.
#[test]
fn later_leader_does_not_wait_for_a_runner_whose_host_has_another() {
    let mut harness = with_unanswered_start(step(1));
    harness.run_ms(4_000);
    let runner = harness.runners.get_mut("r0").expect("the runner exists");
    runner.listed.id = "r0+".into();
    runner.listed.incarnation += 5_000;
    harness.take_over();
    harness.run_ms(200);
    assert_eq!(harness.running("r1").len(), 1, "{}", harness.timeline());
}

/// Guards against a gang whose later attempt starts while a member of the earlier one may still start.
#[test]
fn gang_waits_for_the_unanswered_start_of_a_member() {
    let gang = Step {
        gang: true,
        max_per_runner: Some(1),
        ..step(2)
    };
    let mut harness = Harness::new(2, 1);
    harness.task_duration = |_| Some(DURATION);
    harness.run_ms(100);
    harness.faults.hold = Some("start");
    harness.submit(1, vec![gang]);
    harness.decide();
    assert!(harness.running("r0").is_empty(), "{}", harness.timeline());
    harness.unreachable.insert("r0".to_owned());
    harness.add_runner("r2", "pool", "rack2");
    harness.run_ms(5_400);
    restart(&mut harness);
    harness.run_ms(2_000);
    assert_eq!(harness.overlaps(), 0, "{}", harness.timeline());
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(harness.running_count(), 2);
}

/// Guards against a task that waits for good for a runner that is gone, and against a long-running one that is not back within
/// 9 s of its last run, as its users ask.
#[test]
fn task_starts_elsewhere_once_its_unanswered_start_can_not_arrive() {
    let starts = [step(1), long_running(1, 1)].map(|step| {
        let mut harness = with_unanswered_start(step);
        harness.run_ms(14_000);
        harness
            .timeline()
            .lines()
            .last()
            .unwrap_or_default()
            .to_owned()
    });
    insta::assert_snapshot!(starts.join("\n"));
}

/// Guards against a later attempt that starts while the runner still stops a run that it has begun too late.
#[test]
fn run_that_began_after_the_wait_goes_on_if_its_task_has_no_other() {
    let mut harness = with_start_in_doubt(step(1), Duration::ZERO);
    harness.unreachable.insert("r0".to_owned());
    harness.run_ms(13_000);
    restart(&mut harness);
    harness.set_stop_time(Duration::from_millis(600));
    harness.add_runner("r1", "pool", "rack1");
    check(&mut harness, "run_after_the_wait");
}

/// Guards against a wait that goes on although the start will not be carried out: the next incarnation has answered, or the one that
/// it was sent to, whose lease has ended, or the host has another runner.
#[test]
fn wait_for_a_start_ends_once_it_is_void() {
    for name in ["later", "same", "reused"] {
        let mut harness = with_unanswered_start(step(1));
        if name == "reused" {
            answer_for_another(&mut harness);
        }
        harness.run_ms(3_000);
        assert_eq!(harness.running_count(), 0, "{}", harness.timeline());
        match name {
            "later" => harness.restart_unlisted("r0"),
            "reused" => reuse_host(&mut harness),
            _ => {}
        }
        if name != "reused" {
            harness.unreachable.clear();
        }
        harness.add_line(name);
        harness.run_ms(600);
        assert_eq!(harness.running_count(), 1, "{}", harness.timeline());
        harness.arrive();
        check(&mut harness, &format!("wait_ends_{name}"));
    }
}

/// Guards against waits where none is needed: two runs of the task are allowed, or its start was answered, so that the lease bounds
/// its run.
#[test]
fn task_without_a_start_in_doubt_does_not_wait() {
    let speculative = Step {
        speculative: true,
        ..step(1)
    };
    let mut allowed = with_unanswered_start(speculative);
    let mut answered = Harness::new(1, 1);
    answered.task_duration = |_| Some(DURATION);
    answered.submit(1, vec![step(1)]);
    answered.run_ms(100);
    silence(&mut answered);
    for harness in [&mut allowed, &mut answered] {
        harness.run_ms(4_200);
        assert_eq!(harness.running("r1").len(), 1, "{}", harness.timeline());
    }
}

/// Guards against a job that is given up because starts of its task that were waited for count as crashes of their runner, after a
/// change of the leader. None of them is known to have begun.
#[test]
fn starts_that_a_former_leader_waited_for_are_no_crashes() {
    let mut harness = with_start_in_doubt(step(1), Duration::ZERO);
    let lose_start = |harness: &mut Harness| {
        harness.faults.hold = Some("start");
        while harness.faults.hold.is_some() {
            harness.run_ms(20);
        }
    };
    lose_start(&mut harness);
    lose_start(&mut harness);
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
    harness.run_ms(3_000);
    harness.take_over();
    harness.run_ms(200);
    reuse_host(&mut harness);
    harness.run_ms(4_000);
    harness.unreachable.clear();
    harness.run_ms(1_000);
    assert_eq!(harness.running("r1").len(), 1, "{}", harness.timeline());
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
