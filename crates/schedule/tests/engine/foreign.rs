//! Entries of the service list that another writer has left there. A service that the configuration lacks shows them.

use crate::harness::{
    Harness,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::Step;
use sassafrascrank_schedule::runner::{
    Change,
    Listed, //
};

/// Duration of the tasks.
const DURATION: Duration = Duration::from_secs(20);

/// Returns a harness in which both runners run tasks that outlast the test.
fn with_runs() -> Harness {
    let mut harness = Harness::new(2, 1);
    harness.task_duration = |_| Some(DURATION);
    let tasks = Step {
        estimate: DURATION,
        ..step(8)
    };
    harness.submit(1, vec![tasks]);
    harness.run_ms(1_000);
    assert_eq!(harness.running_count(), 8, "{}", harness.timeline());
    harness
}

/// Returns an entry with a later start that names the host of the first runner. Nothing at its address answers as a runner.
fn entry(harness: &mut Harness, id: &str, service: &str) -> Listed {
    let runner = harness.runners["r0"].listed.clone();
    harness.unreachable.insert(id.to_owned());
    Listed {
        id: id.into(),
        incarnation: runner.incarnation + 1_000,
        pool: service.into(),
        address: ([127, 0, 0, 1], 2).into(),
        ..runner
    }
}

/// Lets the engine read an entry while another runner has room for the tasks of the first one.
fn read(harness: &mut Harness, entry: Listed) {
    harness.add_runner("r2", "pool", "rack1");
    harness.run_ms(200);
    let now = harness.time();
    harness.engine.update_runner(Change::Set(entry), now);
    harness.add_line("entry");
}

/// Lets a new leader take over that reads an entry in place of that of the first runner, while another one has room.
fn take_over_with(harness: &mut Harness, entry: Listed) {
    harness.add_runner("r2", "pool", "rack1");
    harness.run_ms(200);
    let mut list = harness.service_list();
    list.retain(|listed| *listed.id != *"r0");
    list.push(entry);
    harness.take_over_with(list);
}

/// Checks that all runs go on where they are.
fn check_runs(harness: &Harness) {
    assert_eq!(harness.overlaps(), 0, "{}", harness.timeline());
    let stops = harness.timeline().matches("stop").count();
    assert_eq!(stops, 0, "{}", harness.timeline());
    assert_eq!(harness.running("r0").len(), 4);
}

/// Guards against a second run of tasks whose runner lives on: an entry of another writer counted as the later runner of its
/// host.
#[test]
fn entry_of_an_unknown_service_does_not_end_the_runner_of_its_host() {
    let mut harness = with_runs();
    let entry = entry(&mut harness, "agent", "agents");
    read(&mut harness, entry);
    harness.run_ms(2_000);
    check_runs(&harness);
}

/// Guards against the same fault at a change of the leader, which compares the hosts of runs with those of the list.
#[test]
fn entry_of_an_unknown_service_does_not_end_inherited_runs() {
    let mut harness = with_runs();
    let entry = entry(&mut harness, "agent", "agents");
    take_over_with(&mut harness, entry);
    harness.run_ms(20);
    harness.list_runners();
    harness.run_ms(2_000);
    check_runs(&harness);
}

/// Guards against the same fault if the entry has replaced that of the runner, and so counted as its later incarnation.
#[test]
fn entry_of_an_unknown_service_is_no_later_incarnation() {
    let mut harness = with_runs();
    let mut entry = entry(&mut harness, "r0", "agents");
    harness.unreachable.clear();
    read(&mut harness, entry.clone());
    harness.run_ms(100);
    harness.list_runners();
    harness.run_ms(2_000);
    check_runs(&harness);
    // One that has the start of the runner names no address of it.
    entry.incarnation = harness.runners["r0"].listed.incarnation;
    harness
        .engine
        .update_runner(Change::Set(entry), harness.time());
    harness.run_ms(200);
    harness.list_runners();
    harness.run_ms(2_000);
    check_runs(&harness);
}

/// Guards against a runner that is not used, and whose runs end with their leases, because another writer's entry under its
/// name has a later start. A new leader reads that entry first.
#[test]
fn runner_replaces_an_entry_of_an_unknown_service_under_its_name() {
    let mut harness = with_runs();
    let entry = entry(&mut harness, "r0", "agents");
    harness.unreachable.clear();
    take_over_with(&mut harness, entry);
    harness.run_ms(500);
    harness.list_runners();
    harness.run_ms(10_000);
    check_runs(&harness);
}

/// Guards against losses that are noticed late: the runs of a host that has another runner have ended.
#[test]
fn later_runner_of_the_host_ends_the_earlier_one_at_once() {
    let mut harness = with_runs();
    let entry = entry(&mut harness, "later", "other");
    harness.unreachable.insert("r0".to_owned());
    read(&mut harness, entry);
    harness.run_ms(100);
    assert_eq!(harness.running("r2").len(), 4, "{}", harness.timeline());
}
