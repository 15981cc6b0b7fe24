//! A leader whose reads of the log are old while its appends succeed.

#[path = "../fixture/mod.rs"]
#[expect(dead_code, reason = "these tests have no records of other leaders")]
mod fixture;
mod site;

use core::fmt::Write;
use fixture::job;
use sassafrascrank_base::prelude::*;
use site::{
    Reads,
    Site, //
};

/// Log lines about the lead and its inputs.
const SHOWN: [&str; 4] = [
    "starts-paused",
    "starts-resumed",
    "role-lost",
    "leader-appends",
];
/// Time within which an entry leads.
const LEAD_LIMIT: Duration = Duration::from_secs(10);

/// Time for which reads are disturbed. It is shorter than a task, since one that is late is taken for slow.
const OUTAGE: Duration = Duration::from_secs(12);

/// Returns entries of which one leads and has started a task, and that leader.
fn led(entries: usize) -> (Site, usize) {
    let mut site = Site::new(entries);
    site.submit(job(1));
    let started = site.run_until(LEAD_LIMIT, |site| !site.starts.is_empty());
    started.expect("an entry leads and starts the task");
    // All entries read the claim before the reads of some are disturbed.
    site.run(Duration::from_secs(1));
    let leader = site.starts[0].1;
    (site, leader)
}

/// Returns a line for each log line of the names in [`SHOWN`], with the time since `since`.
fn shown(site: &Site, since: Time) -> String {
    let mut report = String::new();
    let lines = site.lines.iter().filter(|(_, line)| line.at >= since);
    for (entry, line) in lines.filter(|(_, line)| SHOWN.contains(&line.name)) {
        let json = line.to_json(&format!("entry-{entry}"));
        let fields = json.split_once("\"process\":").map_or("", |(_, rest)| rest);
        let after = line.at.since(since).as_millis();
        writeln!(report, "{after} ms {{{fields}").unwrap();
    }
    report
}

/// Guards against logs that don't tell why nothing starts although an entry leads: the age of its last read, and that of
/// its last append.
#[test]
fn leader_that_is_behind_the_log_logs_the_ages_of_its_reads_and_appends() {
    let (mut site, leader) = led(1);
    let since = site.now;
    site.set_reads([leader], Reads::Failing);
    site.run(Duration::from_secs(5));
    site.set_reads([leader], Reads::Answered(Duration::from_millis(10)));
    site.submit(job(2));
    site.run(Duration::from_secs(1));
    insta::assert_snapshot!(shown(&site, since));
}

/// Guards against claims one after the other, and against tasks whose leases end, while no entry can read the log in time:
/// the leader keeps the lead and renews the leases, and starts what waits once reads succeed.
#[test]
fn leader_keeps_the_lead_while_nobody_reads_the_log_in_time() {
    let mut report = String::new();
    for (name, reads) in [
        ("reads fail", Reads::Failing),
        ("reads get no answer", Reads::Unanswered),
        (
            "reads take 60 times as long as usual",
            Reads::Answered(Duration::from_millis(240)),
        ),
        (
            "reads take 1.5 s",
            Reads::Answered(Duration::from_millis(1_500)),
        ),
        (
            "reads take 3 s",
            Reads::Answered(Duration::from_millis(3_000)),
        ),
    ] {
        let (mut site, leader) = led(3);
        let claims = site.claims;
        site.set_reads(0..3, reads);
        let mut silence = 0;
        let end = site.now + OUTAGE;
        while site.now < end {
            site.run(Duration::from_millis(10));
            silence = silence.max(site.now.since(site.renewed).as_millis());
        }
        let claims = site.claims - claims;
        site.submit(job(2));
        site.set_reads(0..3, Reads::Answered(Duration::from_millis(10)));
        let wait = site.run_until(LEAD_LIMIT, |site| site.starts.len() > 1);
        writeln!(
            report,
            "{name}: claims {claims}, leads on {}, longest time between renewals {silence} ms, then starts after {wait:?} ms",
            site.leaders() == [leader],
        )
        .unwrap();
    }
    insta::assert_snapshot!(report);
}

/// Guards against queues that stand although entries read the log: the leader's reads fail, get no answer or are slow,
/// so it starts nothing, but its appends succeed, so it keeps the lead. A job may stand for 3 s.
#[test]
fn entry_that_reads_the_log_takes_over_from_a_leader_that_does_not() {
    let mut report = String::new();
    for (name, reads) in [
        ("reads fail", Reads::Failing),
        ("reads get no answer", Reads::Unanswered),
        (
            "reads take 5 s",
            Reads::Answered(Duration::from_millis(5_000)),
        ),
    ] {
        let (mut site, leader) = led(3);
        let claims = site.claims;
        site.set_reads([leader], reads);
        site.submit(job(2));
        let wait = site.run_until(OUTAGE, |site| site.starts.len() > 1);
        let stands = wait.is_none_or(|wait| wait > 3_000);
        site.run(Duration::from_secs(4));
        writeln!(
            report,
            "{name}: job starts after {wait:?} ms, stands for too long: {stands}, claims {}, led by another: {}",
            site.claims - claims,
            !site.leaders().contains(&leader),
        )
        .unwrap();
    }
    insta::assert_snapshot!(report);
}
