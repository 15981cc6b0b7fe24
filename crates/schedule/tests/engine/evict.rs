//! Lasting tasks at runners that leave and on hosts that are maintained.

use crate::rig::{
    Rig,
    lasting,
    step, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::prelude::*;
use std::sync::Arc;

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
        .add_wave(1, hosts, Duration::from_secs(30), 2, None, now);
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
        .add_wave(1, names, Duration::from_secs(20), 2, None, now);
    rig.run(6_000);
    insta::assert_snapshot!(rig.timeline());
}

/// Guards against a new leader that stops lasting tasks beside one whose stop the former leader ordered, which its runner
/// still lists.
#[test]
fn stops_of_a_former_leader_count_against_the_budget() {
    let mut rig = Rig::new(5, 1);
    rig.work = |_| None;
    rig.set_stop_time(Duration::from_millis(800));
    rig.submit(1, vec![lasting(3, 1)]);
    rig.run(1_000);
    let occupied = rig
        .sites
        .iter()
        .filter(|(_, site)| !site.worker.runs.is_empty());
    let hosts: Vec<Arc<str>> = occupied
        .map(|(_, site)| Arc::clone(&site.listed.host))
        .collect();
    let wave = |rig: &mut Rig, hosts: &[Arc<str>]| {
        let now = rig.time();
        rig.engine
            .add_wave(1, hosts.to_vec(), Duration::from_secs(10), 3, None, now);
    };
    wave(&mut rig, &hosts);
    while rig.stopping() == 0 {
        rig.run(20);
    }
    rig.take_over();
    wave(&mut rig, &hosts[1..]);
    let mut most = 0;
    for _ in 0..400 {
        rig.run(20);
        most = most.max(rig.stopping());
    }
    insta::assert_snapshot!(format!("most stops at once: {most}\n{}", rig.timeline()));
    assert_eq!(most, 1, "one of the tasks may be away");
}
