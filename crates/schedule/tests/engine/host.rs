//! Orders to hosts, their answers, and orders of former leaders.

use crate::harness::{
    Harness,
    long_running, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_schedule::{
    Order,
    Rules,
    engine::Permission,
    order::report::Report, //
};
use std::sync::Arc;

/// Guards against a new leader that exceeds the cap of a wave because the host list does not reflect yet the orders
/// that the former leader has just given.
#[test]
fn hosts_that_a_former_leader_ordered_count_against_the_cap() {
    let mut harness = Harness::with_former_orders(4, &[("host-r0", 100), ("host-r1", 100)]);
    let now = harness.time();
    let names = (0..4).map(|index| format!("host-r{index}").into());
    let names: Vec<Arc<str>> = names.collect();
    harness
        .engine
        .add_wave(1, names, Duration::from_secs(20), 2, None, now);
    harness.run_ms(3_000);
    assert!(
        !harness.timeline().contains("maintain"),
        "{}",
        harness.timeline()
    );
    harness.run_ms(6_000);
    assert_eq!(harness.timeline().matches("maintain").count(), 4);
}

/// Guards against a repeated answer to a host order that ends the runner which started after the order.
#[test]
fn late_answer_to_a_host_order_does_not_end_the_next_runner() {
    let mut harness = Harness::new(5, 1);
    let now = harness.time();
    let names = vec!["host-r0".into()];
    harness
        .engine
        .add_wave(1, names, Duration::from_secs(20), 1, None, now);
    harness.run_ms(2_500);
    harness.task_duration = |_| None;
    harness.submit(1, vec![long_running(2, 1)]);
    harness.run_ms(1_000);
    assert!(
        harness.runners.contains_key("r0+"),
        "{}",
        harness.timeline()
    );
    assert_eq!(harness.running("r0+").len(), 1, "{}", harness.timeline());
    let before = harness.engine.counts();
    let reports = harness.reports.clone().into_iter();
    let answers = reports.filter(|report| matches!(report.content(), Report::Host { .. }));
    for answer in answers {
        let now = harness.time();
        harness.engine.report(answer, now);
    }
    assert_eq!(harness.engine.counts(), before, "{}", harness.timeline());
}

/// Guards against counting a host as up after an unanswered order has taken it down and the repeated order is answered
/// as busy.
#[test]
fn busy_host_after_an_order_without_an_answer_counts_against_the_cap() {
    let mut harness = Harness::new(2, 1);
    harness.unanswered_host_orders = 1;
    let now = harness.time();
    let names = vec!["host-r0".into(), "host-r1".into()];
    harness
        .engine
        .add_wave(1, names, Duration::from_secs(20), 1, None, now);
    harness.run_ms(12_000);
    assert!(
        harness.hosts.max_in_maintenance <= 1,
        "{}",
        harness.timeline()
    );
    assert_eq!(harness.announced, [(1, false), (1, true)]);
    insta::assert_snapshot!(harness.timeline());
}

/// Guards against an order that is given long after the time in its record, when a later leader may have given the host
/// another one.
#[test]
fn order_that_was_stored_late_is_stored_again() {
    let mut harness = Harness::new(1, 1);
    let names = vec!["host-r0".into()];
    harness.run_ms(200);
    harness
        .engine
        .add_wave(1, names, Duration::from_secs(20), 1, None, harness.time());
    harness.now += Duration::from_millis(20);
    let orders = |harness: &mut Harness| {
        let now = harness.time();
        harness.engine.tick(Permission::Start, now, now);
        let orders = harness.engine.take_orders().into_iter();
        let hosts = orders.filter(|order| matches!(order.content(), Order::Host(_)));
        hosts.count()
    };
    let mut ordered = vec![orders(&mut harness)];
    assert!(harness.engine.take_records().is_some());
    harness.now += Duration::from_secs(2);
    harness.engine.records_stored(harness.time());
    ordered.push(orders(&mut harness));
    assert!(harness.engine.take_records().is_some());
    harness.now += Duration::from_millis(20);
    harness.engine.records_stored(harness.time());
    ordered.push(orders(&mut harness));
    assert_eq!(ordered, [0, 0, 1]);
}

/// Guards against a third leader that orders a host too early because the second one dropped the first one's order from
/// the log, although the host lease of the deployment is longer than usual.
#[test]
fn ordered_hosts_are_not_ordered_again_during_a_long_lease() {
    let rules = Rules {
        host_lease: Duration::from_secs(10),
        ..Rules::default()
    };
    let mut harness = Harness::with_rules(3, rules, &[]);
    let wave = |harness: &mut Harness, number: u64, name: &str| {
        let now = harness.time();
        let names = vec![name.into()];
        harness
            .engine
            .add_wave(number, names, Duration::from_secs(30), 1, None, now);
    };
    wave(&mut harness, 1, "host-r0");
    harness.run_ms(3_000);
    harness.take_over();
    wave(&mut harness, 2, "host-r1");
    harness.run_ms(5_000);
    harness.take_over();
    wave(&mut harness, 3, "host-r0");
    harness.run_ms(6_000);
    insta::assert_snapshot!(harness.timeline());
}

/// Guards against a new leader that maintains hosts of a wave a second time or leaves some out, after the former leader
/// had begun the wave.
#[test]
fn wave_continues_under_a_new_leader() {
    let mut harness = Harness::new(4, 1);
    let names: Vec<Arc<str>> = (0..4)
        .map(|index| format!("host-r{index}").into())
        .collect();
    let wave = |harness: &mut Harness| {
        let now = harness.time();
        let stored = harness.stored_wave(1);
        harness.engine.add_wave(
            1,
            names.clone(),
            Duration::from_secs(30),
            2,
            stored.as_ref(),
            now,
        );
    };
    wave(&mut harness);
    harness.run_ms(1_000);
    harness.take_over();
    wave(&mut harness);
    harness.run_ms(12_000);
    let stored = harness.stored_wave(1).expect("the log holds the wave");
    insta::assert_snapshot!(format!(
        "{} of 4 hosts, done {}\n{}",
        stored.begun.len(),
        stored.done,
        harness.timeline()
    ));
    assert_eq!(harness.timeline().matches("maintain").count(), 4);
}

/// Guards against connections to runners that have left staying open and using up file descriptors.
#[test]
fn connections_to_a_runner_that_is_gone_are_closed() {
    let mut harness = Harness::new(3, 1);
    let address = harness.runners["r0"].listed.address;
    let names = vec!["host-r0".into()];
    harness
        .engine
        .add_wave(1, names, Duration::from_secs(20), 1, None, harness.time());
    harness.run_ms(2_500);
    assert!(
        harness.runners.contains_key("r0+"),
        "{}",
        harness.timeline()
    );
    assert_eq!(harness.closed.first(), Some(&address));
}

/// Guards against a wave that is published as done because one host list lacks its last host, which has not begun its
/// maintenance and is in the next list again.
#[test]
fn wave_is_not_done_because_one_host_list_lacks_a_host() {
    let mut harness = Harness::new(2, 1);
    harness.task_duration = |_| None;
    harness.submit(1, vec![long_running(2, 0)]);
    harness.run_ms(1_000);
    let now = harness.time();
    let names = vec!["host-r0".into()];
    harness
        .engine
        .add_wave(1, names, Duration::from_secs(20), 1, None, now);
    harness.run_ms(1_000);
    let mut listed = harness.list_hosts();
    listed.retain(|host| &*host.name != "host-r0");
    harness.report_hosts(listed);
    harness.run_ms(3_000);
    let listed_again = harness.announced.clone();
    harness.hosts.hosts.remove("host-r0");
    harness.run_ms(3_000);
    let gone = harness.announced.clone();
    insta::assert_debug_snapshot!([listed_again, gone]);
}

/// Guards against more orders to hosts than the host service accepts in a second, all of which it would refuse, when a
/// wave and the first moves of a day come together.
#[test]
fn orders_to_hosts_stay_within_the_rate_of_the_host_service() {
    const RATE: u32 = 16;
    let rules = Rules {
        host_orders_per_second: Some(RATE),
        ..Rules::default()
    };
    let mut harness = Harness::with_rules(120, rules, &[]);
    let names: Vec<Arc<str>> = (0..60)
        .map(|index| format!("host-r{index}").into())
        .collect();
    let now = harness.time();
    harness
        .engine
        .add_wave(1, names, Duration::from_secs(20), 30, None, now);
    harness.run_ms(25_000);
    let orders = harness.timeline().lines().filter_map(|line| {
        let (at, order) = line.trim().split_once(' ')?;
        let order = order.split(' ').next()?;
        matches!(order, "move" | "maintain").then(|| (at.parse().ok(), order.to_owned()))
    });
    let orders: Vec<(Option<u64>, String)> = orders.collect();
    let times: Vec<u64> = orders.iter().filter_map(|(at, _)| *at).collect();
    let in_second = |from: &u64| {
        times
            .iter()
            .filter(|at| (*from..from + 1_000).contains(*at))
            .count()
    };
    let most = times.iter().map(in_second).max();
    assert!(
        most.is_some_and(|most| most <= RATE as usize),
        "{most:?} orders in a second"
    );
    let maintained = orders
        .iter()
        .filter(|(_, order)| order == "maintain")
        .count();
    assert_eq!(maintained, 60);
    assert_eq!(harness.announced, [(1, false), (1, true)]);
    let last = orders.iter().rfind(|(_, order)| order == "maintain");
    let last = last.and_then(|(at, _)| *at);
    assert!(
        last.is_some_and(|at| at < 20_000),
        "the wave is late: {last:?}"
    );
}
