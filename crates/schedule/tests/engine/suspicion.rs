//! Tasks whose runners fall silent soon after the start, without it being known whether they have crashed.

use crate::harness::{
    Harness,
    long_running,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;
use sassafrascrank_schedule::fleet::host;

/// Time after its start at which the runner of a task falls silent.
const DELAY_MS: u64 = 200;
/// Time within which a task has to start again.
const RESTART_LIMIT_MS: u64 = 12_000;

/// Returns the runner of the only task, once it runs on one that can be reached.
fn wait_for_run(harness: &mut Harness) -> String {
    for _ in 0..RESTART_LIMIT_MS / 20 {
        let ids = harness.runners.keys();
        let mut ids = ids.filter(|id| !harness.unreachable.contains(*id));
        if let Some(id) = ids.find(|id| !harness.running(id).is_empty()) {
            return id.clone();
        }
        harness.run_ms(20);
    }
    panic!("the task does not run: {}", harness.timeline());
}

/// Cuts the runner of the only task off soon after the start, and returns the runner once the task runs elsewhere.
fn cut_off(harness: &mut Harness) -> String {
    let id = wait_for_run(harness);
    harness.run_ms(DELAY_MS);
    harness.unreachable.insert(id.clone());
    harness.add_line(&format!("{id} is cut off"));
    wait_for_run(harness);
    id
}

fn ending(harness: &Harness) -> Option<Ending> {
    harness.stored_progress[&Id(1)].outcome
}

/// Returns a harness with a job of one task that does not end.
fn with_endless_task(step: Step) -> Harness {
    let mut harness = Harness::new(8, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![step]);
    harness
}

/// Guards against a job that is shown as failed for good although none of its runs has failed, because its runners were cut
/// off soon after their starts. One after the other is back, or none is.
#[test]
fn job_is_not_given_up_because_its_runners_were_cut_off() {
    for (step, back) in [
        (long_running(1, 1), true),
        (step(1), true),
        (step(1), false),
    ] {
        let mut harness = with_endless_task(step);
        for _ in 0..5 {
            let id = cut_off(&mut harness);
            if back {
                harness.unreachable.remove(&id);
            }
        }
        harness.unreachable.clear();
        harness.run_ms(3_000);
        assert_eq!(ending(&harness), None, "{}", harness.timeline());
        assert_eq!(harness.running_count(), 1, "{}", harness.timeline());
    }
}

/// Guards against the same fault when another leader takes over each time: it can't know whether a runner has crashed.
#[test]
fn job_is_not_given_up_by_a_later_leader_because_its_runners_are_silent() {
    let mut harness = with_endless_task(step(1));
    for _ in 0..5 {
        cut_off(&mut harness);
        harness.take_over();
    }
    harness.unreachable.clear();
    harness.run_ms(6_000);
    assert_eq!(ending(&harness), None, "{}", harness.timeline());
    assert_eq!(harness.running_count(), 1, "{}", harness.timeline());
}

/// Guards against a lasting job that is given up, or restarted without a pause, because its runners crash.
#[test]
fn long_running_task_that_crashes_its_runners_goes_on_with_pauses() {
    let mut harness = with_endless_task(long_running(1, 1));
    let mut starts = Vec::new();
    for _ in 0..6 {
        let id = wait_for_run(&mut harness);
        starts.push(harness.now.as_millis());
        harness.run_ms(DELAY_MS);
        harness.restart_runner(&id);
    }
    assert_eq!(ending(&harness), None, "{}", harness.timeline());
    let spans = starts.windows(2).map(|pair| pair[1] - pair[0]);
    insta::assert_debug_snapshot!(spans.collect::<Vec<_>>());
}

/// Guards against crashes that do not count because the lease had ended before they were known, or because the leader
/// changed in between. The host shows it: by a later runner, or by its state.
#[test]
fn crash_that_is_known_late_counts() {
    let mut outcomes = Vec::new();
    for changes_lead in [false, true] {
        let mut harness = with_endless_task(step(1));
        for _ in 0..3 {
            let id = cut_off(&mut harness);
            if changes_lead {
                harness.take_over();
            }
            harness.unreachable.remove(&id);
            harness.restart_runner(&id);
        }
        harness.run_ms(100);
        outcomes.push(ending(&harness));
    }
    assert_eq!(outcomes, [Some(Ending::Failed), Some(Ending::Failed)]);
}

/// Guards against crashes that are never known because the host of the runner stays down.
#[test]
fn crash_of_a_host_that_stays_down_counts() {
    let mut harness = with_endless_task(step(1));
    harness.run_ms(100);
    let mut hosts = harness.list_hosts();
    for _ in 0..3 {
        let id = cut_off(&mut harness);
        let host = &harness.runners[&id].listed.host;
        let down = hosts.iter_mut().find(|listed| listed.name == *host);
        down.expect("the host exists").state = host::State::Down;
        harness.report_hosts(hosts.clone());
    }
    harness.run_ms(100);
    assert_eq!(
        ending(&harness),
        Some(Ending::Failed),
        "{}",
        harness.timeline()
    );
}

/// Guards against a task that is taken for the cause of its runner's end when the leader has ended it by an order to the
/// host.
#[test]
fn silent_runner_whose_host_is_ordered_away_does_not_count() {
    let mut harness = with_endless_task(step(1));
    for number in 1..6 {
        let id = cut_off(&mut harness);
        let host = harness.runners[&id].listed.host.clone();
        let now = harness.time();
        harness
            .engine
            .add_wave(number, vec![host], Duration::from_secs(10), 1, None, now);
        harness.run_ms(100);
        harness.unreachable.remove(&id);
    }
    harness.run_ms(3_000);
    assert_eq!(ending(&harness), None, "{}", harness.timeline());
}
