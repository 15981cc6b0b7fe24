//! Lasting tasks at runners that leave and on hosts that are maintained.

use crate::rig::{
    Rig,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;
use std::sync::Arc;

fn lasting(count: u16, may_miss: u16) -> Step {
    Step {
        lasting: true,
        spread: Some(1),
        may_miss: Some(may_miss),
        ..step(count)
    }
}

/// Guards against work that starts at a runner that drains, and against lasting tasks that stay there until it ends.
#[test]
fn draining_runner_loses_its_lasting_tasks() {
    let mut rig = Rig::new(3, 1);
    rig.work = |_| None;
    rig.submit(1, vec![lasting(2, 1)]);
    rig.run(1_000);
    rig.drain("r0");
    rig.mark("r0 drains");
    rig.submit(
        2,
        vec![Step {
            lasting: true,
            ..step(1)
        }],
    );
    rig.run(1_500);
    insta::assert_snapshot!(rig.timeline());
    assert_eq!(rig.running("r0"), Vec::<String>::new());
}

/// Guards against a wave that takes more lasting tasks of one step away than may be missed, or exceeds its cap.
#[test]
fn wave_moves_lasting_tasks_one_by_one() {
    let mut rig = Rig::new(4, 1);
    rig.work = |_| None;
    rig.submit(1, vec![lasting(3, 1)]);
    rig.run(1_000);
    let hosts: Vec<_> = rig
        .hosts
        .hosts
        .keys()
        .map(|name| name.as_str().into())
        .collect();
    let now = rig.time();
    rig.engine
        .wave(1, hosts, Duration::from_secs(30), 2, None, now);
    rig.mark("wave");
    let mut least = 3;
    for _ in 0..1_400 {
        rig.run(20);
        least = least.min(rig.count());
    }
    assert!(least >= 2, "only {least} of 3 tasks ran, 1 may be missed");
    assert!(rig.hosts.most <= 2, "the cap of the wave is exceeded");
    assert_eq!(rig.announced, [(1, false), (1, true)]);
    assert!(!rig.timeline().contains("killed"), "{}", rig.timeline());
}

/// Guards against a leader that orders a host which another holder has ordered shortly before.
#[test]
fn host_that_a_former_leader_ordered_is_left_alone() {
    let hosts = vec![("host-r0", 500), ("host-r1", 60_000)];
    let mut rig = Rig::with_ordered(2, &hosts);
    let now = rig.time();
    let names = vec!["host-r0".into(), "host-r1".into()];
    rig.engine
        .wave(1, names, Duration::from_secs(20), 2, None, now);
    rig.run(6_000);
    insta::assert_snapshot!(rig.timeline());
}

/// Guards against a new leader that maintains as many hosts as the cap allows beside those that the former one has just
/// ordered, which the host list does not show yet.
#[test]
fn hosts_that_a_former_leader_ordered_count_against_the_cap() {
    let mut rig = Rig::with_ordered(4, &[("host-r0", 100), ("host-r1", 100)]);
    let now = rig.time();
    let names = (0..4).map(|index| format!("host-r{index}").into());
    let names: Vec<Arc<str>> = names.collect();
    rig.engine
        .wave(1, names, Duration::from_secs(20), 2, None, now);
    rig.run(3_000);
    assert!(!rig.timeline().contains("maintain"), "{}", rig.timeline());
    rig.run(6_000);
    assert_eq!(rig.timeline().matches("maintain").count(), 4);
}

/// Guards against a late answer to an order that ends the runs of the runner which came after the order.
#[test]
fn late_answer_to_a_host_order_leaves_the_next_runner_alone() {
    let mut rig = Rig::new(5, 1);
    let now = rig.time();
    let names = vec!["host-r0".into()];
    rig.engine
        .wave(1, names, Duration::from_secs(20), 1, None, now);
    rig.run(2_500);
    rig.work = |_| None;
    rig.submit(1, vec![lasting(2, 1)]);
    rig.run(1_000);
    assert!(rig.sites.contains_key("r0+"), "{}", rig.timeline());
    assert_eq!(rig.running("r0+").len(), 1, "{}", rig.timeline());
    let before = rig.engine.load();
    for answer in rig.answers.clone() {
        let now = rig.time();
        rig.engine.report(answer, now);
    }
    assert_eq!(rig.engine.load(), before, "{}", rig.timeline());
}

/// Guards against a host that is counted as up although an order without an answer has taken it down, and that the next
/// try finds busy.
#[test]
fn busy_host_after_an_order_without_an_answer_counts_against_the_cap() {
    let mut rig = Rig::new(2, 1);
    rig.mute_hosts = 1;
    let now = rig.time();
    let names = vec!["host-r0".into(), "host-r1".into()];
    rig.engine
        .wave(1, names, Duration::from_secs(20), 1, None, now);
    rig.run(12_000);
    assert!(rig.hosts.most <= 1, "{}", rig.timeline());
    assert_eq!(rig.announced, [(1, false), (1, true)]);
    insta::assert_snapshot!(rig.timeline());
}
