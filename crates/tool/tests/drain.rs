//! Drains and moves against the stand-in of the platform.

mod common;

use common::fleet::{
    Fleet,
    WAVE_START_MS,
    run_at, //
};
use common::proxy;
use sassafrascrank_base::time::Time;
use sassafrascrank_contract::model::{
    Cause,
    Progress,
    Reservation, //
};
use std::fmt::Write;

fn show(fleet: &Fleet, cases: &[&[&str]]) -> String {
    let mut report = String::new();
    for case in cases {
        writeln!(report, "== {}\n{}", case.join(" "), fleet.run(case)).unwrap();
    }
    report
}

/// Guards against a drain or move that the budget forbids, or that a dry run publishes.
#[test]
fn hosts_leave_only_within_the_budget() {
    let fleet = Fleet::start("depart");
    let at = (WAVE_START_MS + 3_600_000).to_string();
    let dry = ["--dry-run", "--at", &at];
    let cases: &[&[&str]] = &[
        &[&["drain", "alba-0"], &dry[..]].concat(),
        &[&["move", "alba-0", "brisa"], &dry[..]].concat(),
        &["drain", "brisa-0"],
        &["drain", "nobody"],
        &["move", "alba-0", "nowhere"],
        &["move", "alba-0", "alba"],
    ];
    let refused = show(&fleet, cases);
    assert_eq!(fleet.platform.end("config"), 1);
    let cases: &[&[&str]] = &[
        &["drain", "alba-0"],
        &["drain", "alba-0"],
        &["drain", "alba-9"],
        &["move", "alba-1", "brisa"],
        &["move", "alba-2", "brisa"],
        &["hosts", "--pool", "alba"],
        &["pools"],
    ];
    let accepted = show(&fleet, cases);
    assert_eq!(fleet.platform.end("config"), 3);
    insta::assert_snapshot!(format!("{refused}\n{accepted}"));
}

/// Guards against the departure of a host that is lost, and against a drain that the stopped wave takes back.
#[test]
fn lost_hosts_and_stopped_waves_are_refused() {
    let mut fleet = Fleet::start("depart-lost");
    fleet.lose(|host| host.rack == "nicoya-alba-0");
    let cases: &[&[&str]] = &[&["drain", "alba-0"], &["drain", "alba-2"]];
    let lost = show(&fleet, cases);
    fleet.lose(|_| false);
    let mut reservation = Reservation::default();
    reservation.wave.progress = Progress::Stopped(Cause::Rack);
    reservation.wave.since = Time::from_millis(WAVE_START_MS);
    fleet.reserve("comun", reservation);
    let cases: &[&[&str]] = &[&["drain", "alba-2"], &["move", "alba-2", "brisa"]];
    insta::assert_snapshot!(format!("{lost}\nstopped\n{}", show(&fleet, cases)));
}

/// Guards against two concurrent drains that are both accepted although the budget allows only one of them.
#[test]
fn second_of_two_concurrent_drains_is_stale() {
    let fleet = Fleet::start("depart-race");
    let address = fleet.address();
    let proxy = proxy::start(address, move || {
        run_at(address, &["drain", "comun-0", "--writer", "rival"]);
    });
    let slower = run_at(proxy, &["drain", "comun-1"]);
    let cases: &[&[&str]] = &[&["drain", "comun-1"], &["pools"]];
    insta::assert_snapshot!(format!("{slower}\n{}", show(&fleet, cases)));
}
