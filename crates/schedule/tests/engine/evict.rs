//! Long-running tasks on runners that leave and on hosts that are maintained.

use crate::harness::{
    Harness,
    long_running,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;
use std::sync::Arc;

/// Guards against tasks that start on a draining runner, and against long-running tasks that stay there until it ends.
#[test]
fn draining_runner_loses_its_long_running_tasks() {
    let mut harness = Harness::new(3, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![long_running(2, 1)]);
    harness.run_ms(1_000);
    harness.drain("r0");
    harness.add_line("r0 drains");
    harness.submit(
        2,
        vec![Step {
            long_running: true,
            ..step(1)
        }],
    );
    harness.run_ms(1_500);
    insta::assert_snapshot!(harness.timeline());
    assert_eq!(harness.running("r0"), Vec::<String>::new());
}

/// Guards against a wave that takes down more long-running tasks of one step than may be missed, or more hosts than its
/// cap.
#[test]
fn wave_moves_long_running_tasks_one_by_one() {
    let mut harness = Harness::new(4, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![long_running(3, 1)]);
    harness.run_ms(1_000);
    let hosts: Vec<_> = harness
        .hosts
        .hosts
        .keys()
        .map(|name| name.as_str().into())
        .collect();
    let now = harness.time();
    harness
        .engine
        .add_wave(1, hosts, Duration::from_secs(30), 2, None, now);
    harness.add_line("wave");
    let mut least = 3;
    for _ in 0..1_400 {
        harness.run_ms(20);
        least = least.min(harness.running_count());
    }
    assert!(least >= 2, "only {least} of 3 tasks ran, 1 may be missed");
    assert!(
        harness.hosts.max_in_maintenance <= 2,
        "the cap of the wave is exceeded"
    );
    assert_eq!(harness.announced, [(1, false), (1, true)]);
    assert!(
        !harness.timeline().contains("killed"),
        "{}",
        harness.timeline()
    );
}

/// Guards against an order to a host soon after an order by a former leader.
#[test]
fn host_ordered_by_a_former_leader_is_not_ordered_too_soon() {
    let hosts = vec![("host-r0", 500), ("host-r1", 60_000)];
    let mut harness = Harness::with_former_orders(2, &hosts);
    let now = harness.time();
    let names = vec!["host-r0".into(), "host-r1".into()];
    harness
        .engine
        .add_wave(1, names, Duration::from_secs(20), 2, None, now);
    harness.run_ms(6_000);
    insta::assert_snapshot!(harness.timeline());
}

/// Guards against a new leader that stops long-running tasks while another one of the step is stopping by order of the
/// former leader, which its runner still reports as alive.
#[test]
fn stops_of_a_former_leader_count_against_the_budget() {
    let mut harness = Harness::new(5, 1);
    harness.task_duration = |_| None;
    harness.set_stop_time(Duration::from_millis(800));
    harness.submit(1, vec![long_running(3, 1)]);
    harness.run_ms(1_000);
    let occupied = harness
        .runners
        .iter()
        .filter(|(_, runner)| !runner.worker.runs.is_empty());
    let hosts: Vec<Arc<str>> = occupied
        .map(|(_, runner)| Arc::clone(&runner.listed.host))
        .collect();
    let wave = |harness: &mut Harness, hosts: &[Arc<str>]| {
        let now = harness.time();
        harness
            .engine
            .add_wave(1, hosts.to_vec(), Duration::from_secs(10), 3, None, now);
    };
    wave(&mut harness, &hosts);
    while harness.stopping() == 0 {
        harness.run_ms(20);
    }
    harness.take_over();
    wave(&mut harness, &hosts[1..]);
    let mut most = 0;
    for _ in 0..400 {
        harness.run_ms(20);
        most = most.max(harness.stopping());
    }
    insta::assert_snapshot!(format!(
        "most stops at once: {most}\n{}",
        harness.timeline()
    ));
    assert_eq!(most, 1, "one of the tasks may be away");
}
