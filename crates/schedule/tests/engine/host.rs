//! Orders to hosts, their answers, and what former leaders ordered.

use crate::rig::{
    Rig,
    lasting, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_schedule::{
    Order,
    Rules, //
};
use std::sync::Arc;

/// Guards against a new leader that maintains as many hosts as the cap allows beside those that the former one has just
/// ordered, which the host list does not show yet.
#[test]
fn hosts_that_a_former_leader_ordered_count_against_the_cap() {
    let mut rig = Rig::with_ordered(4, &[("host-r0", 100), ("host-r1", 100)]);
    let now = rig.time();
    let names = (0..4).map(|index| format!("host-r{index}").into());
    let names: Vec<Arc<str>> = names.collect();
    rig.engine
        .add_wave(1, names, Duration::from_secs(20), 2, None, now);
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
        .add_wave(1, names, Duration::from_secs(20), 1, None, now);
    rig.run(2_500);
    rig.work = |_| None;
    rig.submit(1, vec![lasting(2, 1)]);
    rig.run(1_000);
    assert!(rig.sites.contains_key("r0+"), "{}", rig.timeline());
    assert_eq!(rig.running("r0+").len(), 1, "{}", rig.timeline());
    let before = rig.engine.counts();
    for answer in rig.answers.clone() {
        let now = rig.time();
        rig.engine.report(answer, now);
    }
    assert_eq!(rig.engine.counts(), before, "{}", rig.timeline());
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
        .add_wave(1, names, Duration::from_secs(20), 1, None, now);
    rig.run(12_000);
    assert!(rig.hosts.most <= 1, "{}", rig.timeline());
    assert_eq!(rig.announced, [(1, false), (1, true)]);
    insta::assert_snapshot!(rig.timeline());
}

/// Guards against an order that is given long after the log named the host, when a later leader may have ordered it.
#[test]
fn order_that_was_stored_late_is_stored_again() {
    let mut rig = Rig::new(1, 1);
    let names = vec!["host-r0".into()];
    rig.run(200);
    rig.engine
        .add_wave(1, names, Duration::from_secs(20), 1, None, rig.time());
    let orders = |rig: &mut Rig| {
        let now = rig.time();
        rig.engine.tick(true, now, now);
        let orders = rig.engine.take_orders().into_iter();
        let hosts = orders.filter(|order| matches!(order, Order::Host(_)));
        hosts.count()
    };
    let mut ordered = vec![orders(&mut rig)];
    assert!(rig.engine.take_records().is_some());
    rig.now += Duration::from_secs(2);
    rig.engine.records_stored(rig.time());
    ordered.push(orders(&mut rig));
    assert!(rig.engine.take_records().is_some());
    rig.now += Duration::from_millis(20);
    rig.engine.records_stored(rig.time());
    ordered.push(orders(&mut rig));
    assert_eq!(ordered, [0, 0, 1]);
}

/// Guards against a third leader that orders a host at once because the second one no longer named it, although the
/// deployment's lease of hosts is long.
#[test]
fn ordered_hosts_are_left_alone_for_the_whole_of_a_long_lease() {
    let rules = Rules {
        host_lease: Duration::from_secs(10),
        ..Rules::default()
    };
    let mut rig = Rig::with_rules(3, rules, &[]);
    let wave = |rig: &mut Rig, number: u64, name: &str| {
        let now = rig.time();
        let names = vec![name.into()];
        rig.engine
            .add_wave(number, names, Duration::from_secs(30), 1, None, now);
    };
    wave(&mut rig, 1, "host-r0");
    rig.run(3_000);
    rig.take_over();
    wave(&mut rig, 2, "host-r1");
    rig.run(5_000);
    rig.take_over();
    wave(&mut rig, 3, "host-r0");
    rig.run(6_000);
    insta::assert_snapshot!(rig.timeline());
}

/// Guards against a leader that maintains hosts again, or forgets some, because the log holds a part of the wave.
#[test]
fn wave_goes_on_under_another_leader() {
    let mut rig = Rig::new(4, 1);
    let names: Vec<Arc<str>> = (0..4)
        .map(|index| format!("host-r{index}").into())
        .collect();
    let wave = |rig: &mut Rig| {
        let now = rig.time();
        let stored = rig.stored_wave(1);
        rig.engine.add_wave(
            1,
            names.clone(),
            Duration::from_secs(30),
            2,
            stored.as_ref(),
            now,
        );
    };
    wave(&mut rig);
    rig.run(1_000);
    rig.take_over();
    wave(&mut rig);
    rig.run(12_000);
    let stored = rig.stored_wave(1).expect("the log holds the wave");
    insta::assert_snapshot!(format!(
        "{} of 4 hosts, done {}\n{}",
        stored.begun.len(),
        stored.done,
        rig.timeline()
    ));
    assert_eq!(rig.timeline().matches("maintain").count(), 4);
}

/// Guards against connections to runners that are gone, which use up descriptors over a long day.
#[test]
fn connections_to_a_runner_that_is_gone_are_closed() {
    let mut rig = Rig::new(3, 1);
    let address = rig.sites["r0"].listed.address;
    let names = vec!["host-r0".into()];
    rig.engine
        .add_wave(1, names, Duration::from_secs(20), 1, None, rig.time());
    rig.run(2_500);
    assert!(rig.sites.contains_key("r0+"), "{}", rig.timeline());
    assert_eq!(rig.closed.first(), Some(&address));
}
