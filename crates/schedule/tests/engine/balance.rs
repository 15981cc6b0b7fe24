//! How many hosts a pool gets, and which.

use crate::rig::{
    Rig,
    step, //
};
use sassafrascrank_job::prelude::*;

/// Guards against a pool that grows only two hosts at a time although its tasks wait for accelerators, because only
/// processors and memory are counted.
#[test]
fn waiting_accelerator_tasks_bring_hosts() {
    let mut rig = Rig::new(8, 1);
    rig.set_accelerators(1);
    rig.work = |_| None;
    // Hosts without work are switched off.
    rig.run(6_000);
    let mut need = step(6);
    need.need = Resource {
        cpu: 10,
        memory: 1,
        gpu: 1,
    };
    rig.submit(1, vec![need]);
    // A move takes 1.5 s.
    rig.run(2_000);
    assert_eq!(rig.count(), 6, "{}", rig.timeline());
}

/// Guards against a task that no host can run and that takes all hosts from the other pools.
#[test]
fn tasks_that_no_host_can_run_bring_no_hosts() {
    let mut rig = Rig::new(8, 1);
    rig.run(6_000);
    let mut need = step(100);
    need.need.gpu = 1;
    need.need.cpu = 1;
    rig.submit(1, vec![need]);
    rig.run(6_000);
    let working = rig.hosts.hosts.values().filter(|host| host.pool == "pool");
    assert_eq!(working.count(), 2, "{}", rig.timeline());
}
