//! The maintenance wave against the stand-in of the platform.

mod common;

use common::{
    file,
    fleet::{
        Fleet,
        WAVE_START_MS,
        run_at, //
    },
    mask,
    proxy, //
};
use sassafrascrank_standin::platform::{
    Faults,
    Outage, //
};
use std::{
    fmt::Write,
    sync::Arc, //
};

fn show(fleet: &Fleet, cases: &[&[&str]]) -> String {
    let mut report = String::new();
    for case in cases {
        writeln!(report, "== {}\n{}", case.join(" "), fleet.run(case)).unwrap();
    }
    mask(&report, &[])
}

fn at(seconds: u64) -> String {
    (WAVE_START_MS + seconds * 1_000).to_string()
}

/// Guards against a wave whose end, or whose late pool and reason, is missing or wrong.
#[test]
fn the_wave_is_shown_with_its_end_and_late_pools() {
    let mut fleet = Fleet::start("wave");
    let hour = at(3_600);
    // The period ends before the drains of comun can end.
    let last = at(21 * 86_400 - 3_600);
    let path = file(
        "wave-brisa.jsonc",
        r#"{ "pools": { "brisa": { "availability_percent": 50 } } }"#,
    );
    let before = show(&fleet, &[&["wave", "--at", &hour]]);
    fleet.run_wave();
    let cases: &[&[&str]] = &[
        &["wave", "--at", &hour],
        &["wave", "--at", &hour, "--json"],
        &["wave", "--at", &last, "--dry-run"],
    ];
    let running = show(&fleet, cases);
    fleet.lose(|host| host.rack == "nicoya-comun-0");
    let lost = show(&fleet, &[&["wave", "--at", &hour]]);
    fleet.lose(|_| false);
    let enough = show(&fleet, &[&["publish", &path], &["wave", "--at", &hour]]);
    insta::assert_snapshot!(format!(
        "{before}\n{running}\nrack lost\n{lost}\nroom in brisa\n{enough}"
    ));
}

/// Guards against an action that publishes no record or a wrong one, or that publishes one although it is refused or a
/// dry run.
#[test]
fn actions_on_the_wave_are_recorded() {
    let mut fleet = Fleet::start("acts");
    fleet.run_wave();
    let hour = at(3_600);
    let end = fleet.platform.end("config");
    let cases: &[&[&str]] = &[
        &["wave", "resume"],
        &["wave", "skip", "alba-0"],
        &["wave", "skip", "alba-1"],
        &["wave", "skip", "nobody"],
        &["wave", "skip", "brisa-0", "--dry-run", "--at", &hour],
        &["wave", "skip", "alba-3", "--dry-run", "--at", &hour],
        &["wave", "pause", "--dry-run", "--at", &hour],
    ];
    let refused = show(&fleet, cases);
    assert_eq!(fleet.platform.end("config"), end);
    let cases: &[&[&str]] = &[
        &["wave", "pause"],
        &["wave", "pause"],
        &["why", "host", "comun-0"],
        &["pools"],
        &["wave", "--at", &hour],
        &["wave", "resume", "--dry-run", "--at", &hour],
        &["wave", "resume"],
        &["wave", "skip", "alba-3"],
        &["wave", "--at", &hour],
    ];
    let accepted = show(&fleet, cases);
    assert_eq!(fleet.platform.end("config"), end + 3);
    insta::assert_snapshot!(format!("{refused}\n{accepted}"));
}

/// Guards against an action that overwrites a change that was accepted after the fleet was read.
#[test]
fn concurrent_change_makes_the_action_stale() {
    let mut fleet = Fleet::start("race");
    fleet.run_wave();
    let address = fleet.address();
    let proxy = proxy::start(address, move || {
        run_at(address, &["wave", "skip", "alba-3", "--writer", "rival"]);
    });
    let slower = run_at(proxy, &["wave", "skip", "alba-4"]);
    let cases: &[&[&str]] = &[&["why", "host", "alba-3"], &["why", "host", "alba-4"]];
    insta::assert_snapshot!(format!("{slower}\n{}", show(&fleet, cases)));
}

/// Guards against a report of "refused" or "nothing was published" for an action that may have taken effect.
#[test]
fn an_action_without_an_answer_is_unknown() {
    let mut fleet = Fleet::start("lost");
    fleet.run_wave();
    let fleet = Arc::new(fleet);
    let failing = fleet.clone();
    let proxy = proxy::start(fleet.address(), move || {
        failing.platform.set_faults(Faults {
            outage: Outage::Closed,
            ..Default::default()
        });
    });
    let text = run_at(proxy, &["wave", "pause", "--timeout", "2"]);
    // The reason is that of the last retry, which depends on the timing.
    let reason = text.find(" (").zip(text.rfind("): "));
    let (from, to) = reason.unwrap();
    insta::assert_snapshot!(text.replace(&text[from..=to], ""));
}
