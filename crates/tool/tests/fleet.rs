//! Views of the fleet against the stand-in of the platform.

mod common;

use common::{
    file,
    fleet::{
        Fleet,
        WAVE_START_MS,
        run_at, //
    },
    mask, //
};
use sassafrascrank_contract::model::Reservation;
use std::fmt::Write;

fn show(fleet: &Fleet, cases: &[&[&str]]) -> String {
    let mut report = String::new();
    for case in cases {
        writeln!(report, "== {}\n{}", case.join(" "), fleet.run(case)).unwrap();
    }
    mask(&report, &[])
}

/// Returns the time one hour after the start of the wave of [`Fleet::run_wave`].
fn hour() -> String {
    (WAVE_START_MS + 3_600_000).to_string()
}

/// Guards against figures of a healthy fleet that are wrong, and against a host or pool that is not shown.
#[test]
fn a_healthy_fleet_has_all_hosts_in_service() {
    let fleet = Fleet::start("healthy");
    let at = hour();
    let cases: &[&[&str]] = &[
        &["hosts"],
        &["hosts", "--pool", "brisa", "--json"],
        &["pools"],
        &["why", "host", "alba-0"],
        &["why", "host", "brisa-0"],
        &["why", "pool", "comun", "--json"],
        &["why", "wave", "--at", &at],
    ];
    insta::assert_snapshot!(show(&fleet, cases));
}

/// Guards against a lost rack that still counts as available.
#[test]
fn a_lost_rack_uses_up_the_budget() {
    let mut fleet = Fleet::start("rack");
    let mut reservation = Reservation::default();
    let since = sassafrascrank_base::time::Time::from_millis(WAVE_START_MS);
    reservation
        .failed
        .insert(common::fleet::name("alba-2"), since);
    fleet.reserve("alba", reservation);
    fleet.lose(|host| host.rack == "nicoya-alba-1");
    let at = hour();
    let cases: &[&[&str]] = &[
        &["hosts", "--pool", "alba"],
        &["pools"],
        &["why", "host", "alba-0"],
        &["why", "host", "alba-3"],
        &["why", "wave", "--at", &at],
    ];
    insta::assert_snapshot!(show(&fleet, cases));
}

/// Guards against a wave whose steps, moves or late pools are not shown.
#[test]
fn a_running_wave_is_shown_with_its_records() {
    let mut fleet = Fleet::start("running");
    fleet.run_wave();
    let at = hour();
    let cases: &[&[&str]] = &[
        &["hosts", "--pool", "alba"],
        &["pools"],
        &["pools", "--json"],
        &["why", "host", "alba-0"],
        &["why", "host", "alba-2"],
        &["why", "host", "alba-2", "--json"],
        &["why", "host", "alba-9"],
        &["why", "wave", "--at", &at],
        &["why", "wave", "--at", &at, "--json"],
    ];
    insta::assert_snapshot!(show(&fleet, cases));
}

/// Guards against output for a host or pool that does not exist, or for a platform that does not answer.
#[test]
fn missing_hosts_and_pools_are_reported() {
    let fleet = Fleet::start("missing");
    let cases: &[&[&str]] = &[
        &["hosts", "--pool", "nowhere"],
        &["why", "host", "nobody"],
        &["why", "pool", "nowhere"],
    ];
    let mut report = show(&fleet, cases);
    let away = "127.0.0.1:1".parse().unwrap();
    for verb in ["hosts", "pools"] {
        writeln!(report, "== {verb}, away\n{}", run_at(away, &[verb])).unwrap();
    }
    insta::assert_snapshot!(report);
}

/// Guards against a dry run that publishes, or that hides a rejection, a move or a pool below its budget.
#[test]
fn a_plan_shows_what_a_document_would_change() {
    let mut fleet = Fleet::start("plan");
    fleet.run_wave();
    let end = fleet.platform.end("config");
    let documents = [
        ("same", r#"{ "pools": { "brisa": {} } }"#),
        (
            "slots",
            r#"{ "pools": { "brisa": { "slots": 4 }, "duna": {} } }"#,
        ),
        (
            "budget",
            r#"{ "pools": { "alba": { "availability_percent": 90 } } }"#,
        ),
        ("move", r#"{ "hosts": { "comun-5": { "pool": "brisa" } } }"#),
        (
            "reserved",
            r#"{ "hosts": { "alba-1": { "pool": "brisa" } } }"#,
        ),
        (
            "unlisted",
            r#"{ "hosts": { "brisa-4": { "pool": "brisa" }, "comun-0": null } }"#,
        ),
        (
            "unknown",
            r#"{ "hosts": { "brisa-0": { "pool": "nowhere" } } }"#,
        ),
        ("wrong", r#"{ "pools": { "alba": { "slots": 0 } } }"#),
        ("empty", "{}"),
    ];
    let mut report = String::new();
    for (name, text) in documents {
        let path = file(&format!("plan-{name}.jsonc"), text);
        writeln!(report, "== {name}\n{}", fleet.run(&["plan", &path])).unwrap();
    }
    assert_eq!(fleet.platform.end("config"), end);
    fleet.lose(|host| host.host == "brisa-0");
    for (name, text) in [documents[1], documents[3], documents[5]] {
        let path = file(&format!("plan-short-{name}.jsonc"), text);
        let result = fleet.run(&["plan", &path]);
        writeln!(report, "== {name}, with brisa-0 lost\n{result}").unwrap();
    }
    insta::assert_snapshot!(mask(&report, &[]));
}
