//! Tests of the roster in virtual time: silence and retirement, requests for state, notices and demand.

mod common;

use common::simulation::{
    Random,
    STEP,
    Simulation,
    demands,
    join,
    pools, //
};
use core::{
    fmt::Write,
    time::Duration, //
};
use insta::assert_snapshot;
use sassafrascrank_base::prelude::Time;
use sassafrascrank_claim::member::Fold;
use sassafrascrank_peer::{
    message::{
        Demand,
        DrainNotice, //
        KnownState,
        Report,
    },
    roster::{
        Event,
        LAG_LIMIT,
        PEER_LIMIT,
        Plan,
        REPORT_INTERVAL,
        Roster,
        STATE_REQUEST_INTERVAL,
        Status, //
    },
    wire::DRAIN_NOTICE_LIMIT, //
};

const START: Time = Time::from_millis(1_800_000_000_000);
const SECOND: Duration = Duration::from_secs(1);
const SEED_COUNT: u64 = 40;

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// A roster of entry 0 with the other entries of its zone.
fn roster(count: usize) -> Roster {
    let mut roster = Roster::new(START, common::sender(0, "suva"), &[]);
    let view = common::view(count, &["suva"]);
    roster.update_members(START, &view, |member| member.address);
    roster
}

/// A report of the entry `index` with the given offsets.
fn report(index: usize, config_offset: u64, membership_offset: u64) -> Report {
    Report {
        config_offset,
        membership_offset,
        ..common::minimal_report(index)
    }
}

/// Guards against an entry that crashes without being reported lost, is reported lost or retired twice, or is not found
/// after its restart.
#[test]
fn silent_entries_are_lost_then_retired_once_and_found_again() {
    let mut simulation = Simulation::new(5, &["suva", "nadi"]);
    simulation.run(10 * SECOND);
    simulation.nodes[2].live = false;
    simulation.run(20 * SECOND);
    simulation.nodes[2].live = true;
    simulation.run(10 * SECOND);
    simulation
        .event_lines
        .retain(|line| !line.contains("entry-2: "));
    assert_snapshot!(simulation.event_lines.join("\n"));
}

/// Guards against an entry that retires members of another zone while the network between the zones is down, and
/// against entries that don't find each other afterwards.
#[test]
fn zones_that_are_cut_off_are_lost_but_not_retired() {
    let mut simulation = Simulation::new(5, &["suva", "nadi"]);
    simulation.run(10 * SECOND);
    for a in 0..5 {
        simulation
            .disconnected
            .extend((a + 1..5).step_by(2).map(|b| (a, b)));
    }
    simulation.run(20 * SECOND);
    simulation.disconnected.clear();
    simulation.run(10 * SECOND);
    assert_snapshot!(simulation.event_lines.join("\n"));
}

/// Guards against a crash that is noticed too late or not by all entries, and against live entries that are reported
/// lost. A random entry crashes at a random time.
#[test]
fn silence_is_noticed_in_time_for_each_seed() {
    for seed in 1..=SEED_COUNT {
        let mut random = Random(seed);
        let mut simulation = Simulation::new(6, &["suva"]);
        simulation.run(3 * SECOND);
        let dead = random.below(6) as usize;
        simulation.run(Duration::from_millis(random.below(2_000)));
        simulation.nodes[dead].live = false;
        simulation.run(Duration::from_millis(7_000));
        let count = |what: &str| {
            let end = format!(": {what} entry-{dead}");
            simulation
                .event_lines
                .iter()
                .filter(|line| line.ends_with(&end))
                .count()
        };
        assert_eq!(
            (count("lost"), count("retire")),
            (5, 5),
            "seed {seed}: {:?}",
            simulation.event_lines
        );
        assert_eq!(
            simulation.event_lines.len(),
            10,
            "seed {seed}: {:?}",
            simulation.event_lines
        );
    }
}

/// Guards against a process that retires every other member when it resumes after a pause, because it counts its own
/// pause as their silence.
#[test]
fn a_paused_process_retires_nobody() {
    let mut roster = roster(4);
    roster.tick(at(500));
    let events = roster.tick(at(60_000));
    let retired = |events: &[Event]| {
        let retirements = events
            .iter()
            .filter(|event| matches!(event, Event::Retire(_)));
        retirements.count()
    };
    assert_eq!(retired(&events), 0);
    let mut later = 0;
    for millis in (60_100..70_000).step_by(100) {
        later += retired(&roster.tick(at(millis)));
    }
    assert_eq!(later, 3, "members that stay silent after the pause");
}

/// Guards against a retirement that is returned too soon again, or never again, after its record could not be appended.
#[test]
fn a_retirement_that_was_not_appended_is_announced_again() {
    let mut roster = roster(2);
    let mut lines = String::new();
    let mut postponed = false;
    for millis in (0..9_000).step_by(100) {
        for event in roster.tick(at(millis)) {
            writeln!(lines, "{millis:4} ms: {event:?}").unwrap();
            if matches!(event, Event::Retire(_)) && !postponed {
                roster.postpone_retirement(at(millis), &common::entry(1));
                postponed = true;
            }
        }
    }
    assert_snapshot!(lines);
}

/// Guards against entries that all send at the same moment, and against pairs in which both entries begin exchanges,
/// which would double the traffic.
#[test]
fn reports_are_spread_and_each_pair_exchanges_once_a_second() {
    let mut moments = std::collections::BTreeSet::new();
    for index in 0..16 {
        let mut roster = Roster::new(START, common::sender(index, "suva"), &[]);
        let view = common::view(16, &["suva"]);
        roster.update_members(START, &view, |member| member.address);
        let first = (0..1_000).find(|millis| !roster.due(at(*millis)).is_empty());
        moments.insert(first.unwrap() / 50);
    }
    assert!(
        moments.len() >= 8,
        "first reports in {moments:?} of 20 intervals of 50 ms"
    );
    let mut simulation = Simulation::new(8, &["suva"]);
    simulation.run(20 * SECOND);
    let before: u64 = simulation
        .nodes
        .iter()
        .map(|node| node.roster.count().exchanged)
        .sum();
    simulation.run(20 * SECOND);
    let after: u64 = simulation
        .nodes
        .iter()
        .map(|node| node.roster.count().exchanged)
        .sum();
    // 28 pairs, and each exchange counts at both ends.
    assert_eq!(after - before, 20 * 28 * 2);
}

/// Guards against requests to a peer whose state is not newer, and against requests in quick succession.
#[test]
fn only_newer_state_is_asked_for() {
    let mut roster = roster(4);
    let have = |config, member| KnownState {
        config,
        member,
        hosts: true,
    };
    let mut now = at(100);
    for (index, config_offset, membership_offset) in [(1, 50, 9), (2, 70, 9), (3, 60, 8)] {
        roster
            .receive(now, &report(index, config_offset, membership_offset))
            .unwrap();
    }
    for (config, member) in [(70, 9), (71, 9), (70, 10), (u64::MAX, u64::MAX)] {
        assert_eq!(
            roster.choose_state_source(now, have(config, member)),
            None,
            "{config} {member}"
        );
    }
    // A process without state asks at once, and asks the peer with the highest offsets.
    let key = roster.choose_state_source(now, have(0, 0));
    assert_eq!(
        roster.peer(key.unwrap()).unwrap().entry(),
        Some(&common::entry(2))
    );
    assert_eq!(roster.choose_state_source(now + SECOND, have(0, 0)), None);
    now = now + STATE_REQUEST_INTERVAL;
    for index in 1..4 {
        // A delayed report with lower offsets changes nothing.
        roster.receive(now, &report(index, 1, 1)).unwrap();
    }
    assert_eq!(roster.choose_state_source(now, have(69, 9)), None);
    assert_eq!(
        roster.choose_state_source(now + LAG_LIMIT / 2, have(69, 9)),
        None
    );
    let key = roster.choose_state_source(now + LAG_LIMIT, have(69, 9));
    assert_eq!(
        roster.peer(key.unwrap()).unwrap().entry(),
        Some(&common::entry(2))
    );
    assert_eq!(
        roster.choose_state_source(now + LAG_LIMIT + STATE_REQUEST_INTERVAL, have(70, 9)),
        None
    );
}

/// Guards against confirmations by peers that take longer than the lease allows.
#[test]
fn confirmations_are_answered_within_two_report_intervals() {
    for seed in 1..=8 {
        let mut random = Random(seed);
        let mut simulation = Simulation::new(8, &["suva"]);
        simulation.run(Duration::from_millis(3_000 + random.below(2_000)));
        (0..8).for_each(|index| simulation.request_confirmations(index));
        let start = simulation.now;
        simulation.run(2 * REPORT_INTERVAL + STEP);
        for (index, node) in simulation.nodes.iter().enumerate() {
            let answered = node.confirmed.values().filter(|(_, begun)| *begun == start);
            assert_eq!(answered.count(), 7, "seed {seed}, entry-{index}");
        }
    }
}

/// Guards against drain notices that are sent for too long or not long enough, and against a list without a bound.
#[test]
fn drain_notices_are_repeated_for_ten_seconds_and_bounded() {
    let mut roster = roster(2);
    let key = roster.find(&common::entry(1)).unwrap();
    let notice = |index: usize| DrainNotice {
        host: common::name(&format!("runner-{index}")),
        incarnation: 1,
    };
    roster.announce_drain(at(0), notice(0));
    let mut count = |now| {
        roster
            .compose(now, key, &Status::default())
            .unwrap()
            .drain_notices
            .len()
    };
    assert_eq!(
        [count(at(0)), count(at(9_999)), count(at(10_000))],
        [1, 1, 0]
    );
    for index in 0..DRAIN_NOTICE_LIMIT + 5 {
        roster.announce_drain(at(20_000), notice(index));
        roster.announce_drain(at(20_000), notice(index));
    }
    let report = roster.compose(at(20_000), key, &Status::default()).unwrap();
    assert_eq!(report.drain_notices.len(), DRAIN_NOTICE_LIMIT);
    assert_eq!(
        report.drain_notices[0],
        notice(5),
        "the oldest drain notices go first"
    );
    assert_eq!(roster.count().dropped_drain_notices, 5);
}

/// Guards against demand that never reaches a peer after failed exchanges or after the set of pools has changed.
#[test]
fn demand_arrives_in_spite_of_failures() {
    let mut simulation = Simulation::new(3, &["suva"]);
    let mut random = Random(5);
    let pool_hashes = pools(199);
    for round in 0..4 {
        let demand = demands(&mut random, &pool_hashes[round * 20..]);
        for second in 0..10 {
            if second == 2 {
                simulation.disconnected.insert((0, 1));
            }
            if second == 5 {
                simulation.disconnected.clear();
            }
            simulation.nodes[0].roster.publish(demand.iter().copied());
            simulation.run(SECOND);
        }
    }
    // After a failure, all 139 pools are sent again: each report has room for 28 and one repeated value.
    simulation.run(30 * SECOND);
    assert_eq!(simulation.nodes[0].roster.published().count(), 199 - 3 * 20);
    let expected: Vec<Demand> = simulation.nodes[0].roster.published().copied().collect();
    for node in &simulation.nodes[1..] {
        let key = node.roster.find(&common::entry(0)).unwrap();
        let seen: Vec<Demand> = node.roster.peer(key).unwrap().demands().copied().collect();
        assert!(
            seen == expected,
            "{} of {} pools",
            seen.len(),
            expected.len()
        );
    }
}

/// Guards against peers that keep the last demand of a pool after all demand has ended.
#[test]
fn the_end_of_all_demand_arrives() {
    let mut simulation = Simulation::new(2, &["suva"]);
    let demands: Vec<Demand> = (0..3)
        .map(|pool| common::demand(&format!("pool-{pool}"), 1_000, 0))
        .collect();
    for count in [3, 3, 3, 1, 0, 0, 0] {
        simulation.nodes[0]
            .roster
            .publish(demands[..count].iter().copied());
        simulation.run(2 * SECOND);
    }
    let key = simulation.nodes[1].roster.find(&common::entry(0)).unwrap();
    assert_eq!(
        simulation.nodes[1]
            .roster
            .peer(key)
            .unwrap()
            .demands()
            .count(),
        0
    );
}

/// Guards against a seed that is not recognised as a member or becomes two peers, and against an earlier incarnation
/// that is never retired because its successor answers at the same address.
#[test]
fn seeds_and_restarted_entries_become_the_right_peers() {
    let seed = common::sender(1, "suva").peers;
    let own = common::sender(0, "suva").peers;
    let mut roster = Roster::new(START, common::sender(0, "suva"), &[seed, own]);
    let [key] = roster.due(at(0))[..] else {
        panic!("one seed is due");
    };
    roster.record_success(at(10), key, &report(1, 5, 5));
    assert_eq!(roster.find(&common::entry(1)), Some(key));
    let mut fold = Fold::default();
    join(&mut fold, 1, "suva");
    roster.update_members(at(20), fold.view(), |member| member.address);
    assert_eq!(roster.peers().count(), 1);
    // Another incarnation answers at the address of the seed.
    let [key] = roster.due(at(2_000))[..] else {
        panic!("the peer is due");
    };
    let mut restarted = report(1, 5, 5);
    restarted.sender.entry.incarnation += 1;
    roster.record_success(at(2_010), key, &restarted);
    let mut lines = String::new();
    for millis in (2_100..12_000).step_by(100) {
        if let Some(key) = roster.find(&restarted.sender.entry) {
            roster.receive(at(millis), &restarted).unwrap();
            assert!(!roster.peer(key).unwrap().is_lost());
        }
        for event in roster.tick(at(millis)) {
            writeln!(lines, "{millis} ms: {event:?}").unwrap();
        }
    }
    assert_snapshot!(lines);
}

/// Guards against a roster that grows without a bound, and against a process that becomes its own peer.
#[test]
fn peers_are_bounded_and_never_the_process_itself() {
    let mut roster = roster(PEER_LIMIT + 10);
    assert_eq!(roster.peers().count(), PEER_LIMIT);
    assert_eq!(roster.count().ignored_peers, 9);
    assert_eq!(roster.receive(at(0), &common::minimal_report(0)), None);
    assert_eq!(roster.receive(at(0), &report(PEER_LIMIT + 50, 1, 1)), None);
}

/// Guards against an unintended change of the report intervals and of the number of pools in a report.
#[test]
fn plans_follow_the_number_of_peers() {
    let mut lines = String::new();
    for (own, others) in [(0, 0), (2, 5), (3, 12), (7, 24), (15, 48)] {
        writeln!(lines, "{own} and {others}: {:?}", Plan::new(own, others)).unwrap();
    }
    assert_snapshot!(lines);
}
