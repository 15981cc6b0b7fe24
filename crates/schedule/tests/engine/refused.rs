//! Starts in doubt whose repeats are refused.

use crate::harness::{
    Harness,
    Planned,
    Refused,
    job,
    long_running, //
};
use sassafrascrank_base::{
    fault::Cause,
    prelude::*, //
};
use sassafrascrank_job::{
    Job,
    Step, //
};
use sassafrascrank_schedule::order::report::Failure;

/// Returns a harness in which the start of the only task is lost.
fn with_lost_start(queue: &str) -> Harness {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    harness.run_ms(100);
    harness.faults.hold = Some("start");
    harness.submit_job(Job {
        queue: queue.into(),
        ..job(1, vec![long_running(1, 1)])
    });
    while harness.faults.hold.is_some() {
        harness.run_ms(20);
    }
    harness
}

/// Lets the runner refuse the first attempt of the task, and adds another runner.
fn refuse_repeats(harness: &mut Harness, failure: Failure) {
    harness.faults.refused = Some(Refused {
        attempt: 1,
        failure,
        count: 0,
    });
    harness.add_runner("r1", "pool", "rack1");
}

/// Runs until the task runs, or has not run for as long as its users allow. Returns the time in milliseconds.
fn wait(harness: &mut Harness) -> u128 {
    let began = harness.now;
    while harness.running_count() == 0 && harness.now < began + Duration::from_secs(9) {
        harness.run_ms(20);
    }
    (harness.now - began).as_millis()
}

/// Guards against a task that never runs again because its start is repeated at a runner that refuses it: each refused repeat
/// put off the end of the doubt, as one without an answer does.
#[test]
fn refused_repeats_do_not_prolong_the_doubt() {
    let failures = [
        Failure::NoCapacity,
        Failure::LeaseExpired,
        Failure::Rejected,
        Failure::Unhealthy,
        Failure::Unsent,
    ];
    let line = |failure: Failure| {
        let mut harness = with_lost_start("orders");
        refuse_repeats(&mut harness, failure);
        let waited = wait(&mut harness);
        let repeats = harness.faults.refused.map_or(0, |refused| refused.count);
        let name = failure.as_str();
        format!("{name}: runs after {waited} ms and {repeats} refused repeats")
    };
    let report: Vec<String> = failures.into_iter().map(line).collect();
    insta::assert_snapshot!(report.join("\n"));
}

/// Guards against a start that is repeated with a ticket that has run out, for as long as the job lasts. All copies of the start
/// have that ticket, so none of them can be carried out any more.
#[test]
fn start_with_a_ticket_that_has_run_out_is_not_repeated() {
    let mut harness = Harness::new(1, 1);
    harness.faults.hold_timeout = Duration::from_millis(700);
    harness.ticket_lifetime = Duration::from_millis(500);
    harness.task_duration = |_| None;
    harness.run_ms(100);
    harness.faults.hold = Some("start");
    harness.submit_job(Job {
        queue: "advised".into(),
        ..job(1, vec![long_running(1, 1)])
    });
    harness.run_ms(9_000);
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(harness.running_count(), 1);
}

/// Guards against the same fault after a restart of the runner, which rejects the tickets of its earlier incarnation.
#[test]
fn start_with_a_ticket_of_an_earlier_incarnation_is_not_repeated() {
    let mut harness = with_lost_start("advised");
    harness.unreachable.insert("r0".to_owned());
    harness.run_ms(500);
    harness.restart_runner("r0");
    harness.unreachable.clear();
    harness.add_line("restarted");
    harness.run_ms(9_000);
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(harness.running_count(), 1);
}

/// Guards against a wait that ends too early: a copy of the start that was not refused may still be carried out.
#[test]
fn doubt_lasts_until_the_start_without_an_answer_has_expired() {
    let mut harness = with_lost_start("orders");
    refuse_repeats(&mut harness, Failure::NoCapacity);
    harness.run_ms(1_000);
    harness.arrive();
    harness.run_ms(2_000);
    assert_eq!(harness.running("r0").len(), 1, "{}", harness.timeline());
    assert_eq!(harness.overlaps(), 0, "{}", harness.timeline());
}

/// Guards against a repeat that starts a task where none may start: at a runner that drains, or whose host is about to be
/// maintained.
#[test]
fn start_is_not_repeated_where_no_task_may_start() {
    for draining in [true, false] {
        let mut harness = Harness::new(1, 1);
        harness.task_duration = |_| None;
        harness.run_ms(100);
        harness.faults.hold = Some("start");
        harness.submit(1, vec![long_running(1, 1)]);
        harness.decide();
        harness.add_runner("r1", "pool", "rack1");
        match draining {
            true => harness.drain("r0"),
            false => {
                let (hosts, now) = (vec!["host-r0".into()], harness.time());
                let span = Duration::from_secs(10);
                harness.engine.add_wave(1, hosts, span, 1, None, now);
            }
        }
        harness.run_ms(4_000);
        let timeline = harness.timeline();
        assert!(!timeline.contains("at r0"), "{draining}: {timeline}");
        assert_eq!(harness.running("r1").len(), 1, "{draining}: {timeline}");
    }
}

/// Guards against a run that is given up, and started elsewhere, although its runner lists it: another copy of its start was refused
/// before, and the answer to that arrives afterwards.
#[test]
fn refusal_of_a_further_copy_does_not_end_a_run_that_is_listed() {
    for failure in [Failure::NoCapacity, Failure::InvalidTicket] {
        let mut harness = with_lost_start("orders");
        harness.set_stop_time(Duration::from_millis(600));
        harness.faults.planned.push(Planned {
            id: "r0",
            call: "start",
            count: 1,
            failure,
            cause: Cause::Status,
            after: Duration::from_millis(200),
        });
        harness.add_runner("r1", "pool", "rack1");
        while harness.faults.planned[0].count > 0 {
            harness.run_ms(20);
        }
        harness.arrive();
        harness.run_ms(2_000);
        let timeline = harness.timeline();
        assert_eq!(harness.overlaps(), 0, "{timeline}");
        assert_eq!(harness.running("r0").len(), 1, "{timeline}");
    }
}

/// Guards against a repeat at a restarted runner that lacks the label which the task needs.
#[test]
fn start_is_not_repeated_at_a_restarted_runner_without_the_label() {
    let mut harness = Harness::new(1, 1);
    harness.task_duration = |_| None;
    harness.run_ms(100);
    harness.faults.hold = Some("start");
    let labelled = Step {
        label: Some("kind".into()),
        ..long_running(1, 1)
    };
    harness.submit(1, vec![labelled]);
    harness.decide();
    let runner = harness.runners.get_mut("r0").expect("the runner exists");
    runner.listed.labels = Box::default();
    harness.restart_runner("r0");
    harness.run_ms(3_000);
    assert_eq!(harness.running_count(), 0, "{}", harness.timeline());
}
