//! Distribution of hosts over the pools.

use crate::harness::{
    Harness,
    RUNNER_SLOTS,
    step, //
};
use sassafrascrank_job::prelude::*;
use sassafrascrank_schedule::runner::Change;

/// Guards against a pool that gets only two hosts at a time while its tasks wait for accelerators, because only
/// processors and memory are counted.
#[test]
fn waiting_accelerator_tasks_bring_hosts() {
    let mut harness = Harness::new(8, 1);
    harness.set_accelerators(1);
    harness.task_duration = |_| None;
    // By now, hosts without runs are switched off.
    harness.run_ms(6_000);
    let mut need = step(6);
    need.need = Resource {
        cpu: 10,
        memory: 1,
        gpu: 1,
    };
    harness.submit(1, vec![need]);
    // A move takes 1.5 s.
    harness.run_ms(2_000);
    assert_eq!(harness.running_count(), 6, "{}", harness.timeline());
}

/// Guards against tasks that no host can run drawing all hosts into their pool.
#[test]
fn tasks_that_no_host_can_run_bring_no_hosts() {
    let mut harness = Harness::new(8, 1);
    harness.run_ms(6_000);
    let mut need = step(100);
    need.need.gpu = 1;
    need.need.cpu = 1;
    harness.submit(1, vec![need]);
    harness.run_ms(6_000);
    let working = harness
        .hosts
        .hosts
        .values()
        .filter(|host| host.pool == "pool");
    assert_eq!(working.count(), 2, "{}", harness.timeline());
}

/// Guards against tasks that wait for seconds while hosts are switched off, because an entry of the service list that no
/// runner answers for has a huge capacity, and the pool seems to need fewer hosts.
#[test]
fn capacity_of_a_runner_that_never_answered_does_not_count() {
    let mut harness = Harness::new(8, 1);
    harness.task_duration = |_| None;
    let mut listed = harness.runners["r0"].listed.clone();
    harness.run_ms(6_000);
    listed.id = "other-writer".into();
    listed.host = "".into();
    listed.address = ([127, 0, 0, 1], 2).into();
    listed.capacity.cpu = 1_000_000_000;
    listed.capacity.memory = 1_000_000_000;
    harness.unreachable.insert("other-writer".to_owned());
    let now = harness.time();
    harness.engine.update_runner(Change::Set(listed), now);
    // Needs six hosts.
    let tasks = 6 * u16::try_from(RUNNER_SLOTS).expect("a runner has few slots");
    harness.submit(1, vec![step(tasks)]);
    harness.run_ms(2_000);
    assert_eq!(
        harness.running_count(),
        usize::from(tasks),
        "{}",
        harness.timeline()
    );
}

/// Guards against tasks that wait while hosts with their label are switched off, because hosts without it count as
/// well.
#[test]
fn waiting_tasks_bring_hosts_with_their_label() {
    let mut harness = Harness::new(8, 2);
    harness.task_duration = |_| None;
    harness.run_ms(6_000);
    let need = Step {
        label: Some("rack2".into()),
        ..step(6)
    };
    harness.submit(1, vec![need]);
    // A move takes 1.5 s.
    harness.run_ms(2_000);
    assert_eq!(harness.running_count(), 6, "{}", harness.timeline());
}

/// Guards against tasks without a rack taking up the hosts of a rack, so that tasks whose data is there run in other
/// racks.
#[test]
fn tasks_without_a_rack_avoid_hosts_of_a_requested_rack() {
    let mut harness = Harness::new(4, 1);
    let near = |count| Step {
        data_rack: Some("rack0".into()),
        ..step(count)
    };
    for id in 0..20 {
        harness.submit(2 * id + 1, vec![near(3)]);
        harness.submit(2 * id + 2, vec![step(10)]);
        harness.run_ms(400);
    }
    let (mut at_data, mut asked) = (0, 0);
    for (id, runner) in &harness.runners {
        for run in &runner.worker.history {
            let job = u64::from_str_radix(&run.task[..16], 16).expect("a task begins with its job");
            asked += u32::from(job % 2 == 1);
            at_data += u32::from(job % 2 == 1 && id == "r0");
        }
    }
    insta::assert_snapshot!(format!("{at_data} of {asked} tasks ran at their data"));
}
