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

/// Guards against tasks that wait although a host with their label is switched off, because any host counts as good.
#[test]
fn waiting_tasks_bring_hosts_with_their_label() {
    let mut rig = Rig::new(8, 2);
    rig.work = |_| None;
    rig.run(6_000);
    let need = Step {
        label: Some("rack2".into()),
        ..step(6)
    };
    rig.submit(1, vec![need]);
    // A move takes 1.5 s.
    rig.run(2_000);
    assert_eq!(rig.count(), 6, "{}", rig.timeline());
}

/// Guards against tasks that fill the hosts of a rack although they could run anywhere, so that tasks with their data
/// there run far from it.
#[test]
fn other_tasks_leave_hosts_of_a_wanted_rack_alone() {
    let mut rig = Rig::new(4, 1);
    let near = |count| Step {
        data_rack: Some("rack0".into()),
        ..step(count)
    };
    for id in 0..20 {
        rig.submit(2 * id + 1, vec![near(3)]);
        rig.submit(2 * id + 2, vec![step(10)]);
        rig.run(400);
    }
    let (mut at_data, mut asked) = (0, 0);
    for (id, site) in &rig.sites {
        for run in &site.worker.history {
            let job = u64::from_str_radix(&run.task[..16], 16).expect("a task begins with its job");
            asked += u32::from(job % 2 == 1);
            at_data += u32::from(job % 2 == 1 && id == "r0");
        }
    }
    insta::assert_snapshot!(format!("{at_data} of {asked} tasks ran at their data"));
}
