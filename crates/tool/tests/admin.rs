//! Status and time line of several entries.

mod common;

use common::{
    entry::Entry,
    mask,
    run, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_observe::event::{
    Event, Kind,
    request::{
        Counter,
        Origin, //
    },
};
use std::thread::sleep;

/// Repeats the command until its output contains `text`, since an observe thread processes events in batches.
fn run_until(arguments: &[&str], text: &str) -> String {
    for _ in 0..1_000 {
        let output = run(arguments, "");
        if output.contains(text) {
            return output;
        }
        sleep(Duration::from_millis(5));
    }
    panic!("{arguments:?} never shows {text:?}: {}", run(arguments, ""));
}

/// Address that no process listens on.
const AWAY: &str = "127.0.0.1:1";

/// Guards against an unreachable entry that is not reported, or that prevents the others from being shown.
#[test]
fn status_shows_all_entries_and_names_those_without_an_answer() {
    let mut entries = [
        Entry::start("entry-1", 5_000),
        Entry::start("entry-2", 5_000),
    ];
    let addresses = [
        entries[0].address.to_string(),
        entries[1].address.to_string(),
    ];
    for (entry, running) in entries.iter_mut().zip(1..) {
        entry.report(running);
        let admin = entry.address.to_string();
        run_until(&["status", "--admin", &admin], "serving");
    }
    let arguments = ["status", "--admin", &addresses[0], AWAY, &addresses[1]];
    let table = run(&arguments, "");
    let json = run(&[&arguments[..], &["--json"]].concat(), "");
    let changes = [
        (addresses[0].as_str(), "ADMIN-1"),
        (&addresses[1], "ADMIN-2"),
    ];
    insta::assert_snapshot!(mask(&format!("{table}\n{json}"), &changes));
    for entry in entries {
        entry.handle.stop().unwrap();
    }
}

/// Guards against a time line in which a forwarded request arrives before it was sent, because clocks differ.
#[test]
fn time_lines_are_merged_in_causal_order() {
    // The clock of the second entry is 2 s behind.
    let mut first = Entry::start("entry-1", 5_000);
    let mut second = Entry::start("entry-2", 3_000);
    let origin = Origin::new(&Name::new("entry-1").unwrap(), 7);
    let id = Counter::new(origin, 0, 1).next_id();
    let member = first.member("entry-2");
    let event = |millis, kind| Event::new(Time::from_millis(millis), kind).request(id);
    first.record(&[
        event(5_000, Kind::Arrived),
        event(5_001, Kind::Forwarded).member(member),
        Event::answered(Time::from_millis(5_050), Duration::from_millis(40)).request(id),
    ]);
    second.record(&[
        event(3_002, Kind::Arrived),
        event(3_003, Kind::Queued).detail(1),
        Event::answered(Time::from_millis(3_045), Duration::from_millis(40)).request(id),
    ]);
    let addresses = [first.address.to_string(), second.address.to_string()];
    for address in &addresses {
        run_until(&["timeline", "--admin", address], "answered");
    }
    let all = ["timeline", "--admin", &addresses[1], &addresses[0]];
    let id = id.to_string();
    let cases: [&[&str]; 6] = [
        &[],
        &["--admin", AWAY],
        &["--request", &id, "--limit", "2"],
        &["--host", "entry-2"],
        &["--configuration", "9"],
        &["--limit", "1", "--json"],
    ];
    let mut report = String::new();
    for case in cases {
        let output = run(&[&all[..], case].concat(), "");
        report += &format!("== {}\n{output}", case.join(" "));
    }
    insta::assert_snapshot!(report);
    first.handle.stop().unwrap();
    second.handle.stop().unwrap();
}
