//! Claims of entries that read the same log.

use sassafrascrank_base::prelude::*;
use sassafrascrank_lead::{
    Seat, Timing,
    election::{
        Claim,
        Heard, //
    },
};
use std::fmt::Write;

const START: Time = Time::from_millis(1_000_000);
/// Time between two reads of the log.
const READ: Duration = Duration::from_millis(50);

fn record(epoch: u64, capacity: u32) -> Heard {
    Heard {
        epoch,
        capacity,
        resigned: false,
        own_past: false,
    }
}

/// Returns after how many milliseconds an entry of `capacity` claims that hears `heard` until `silent`.
fn claims(capacity: u32, heard: Option<Heard>, silent: Duration) -> Option<u128> {
    let mut seat = Seat::new(Timing::default(), 0, capacity, START);
    let mut now = START;
    while now < START + Duration::from_secs(10) {
        seat.read(true, now, now);
        if let Some(heard) = heard
            && now < START + silent
        {
            seat.hear(heard, now);
        }
        if let Claim::Append(_) = seat.claim(now) {
            return Some(now.since(START).as_millis());
        }
        now = now + READ;
    }
    None
}

/// Guards against a leader that is left alone although it lacks the processor, against entries of the same size that
/// take the role from each other, and against a first leader that is a small entry.
#[test]
fn larger_entries_lead() {
    let forever = Duration::MAX;
    let brief = Duration::from_secs(1);
    let mut table = String::new();
    for (name, capacity, heard, silent) in [
        ("first start, small", 120, None, forever),
        ("first start, large", 500, None, forever),
        (
            "small leader, large entry",
            500,
            Some(record(1 << 16, 120)),
            forever,
        ),
        (
            "large leader, small entry",
            120,
            Some(record(1 << 16, 500)),
            forever,
        ),
        (
            "leader of the same size",
            250,
            Some(record(1 << 16, 250)),
            forever,
        ),
        (
            "leader of unknown size",
            250,
            Some(record(1 << 16, 0)),
            forever,
        ),
        (
            "silent leader of the same size",
            250,
            Some(record(1 << 16, 250)),
            brief,
        ),
    ] {
        let after = claims(capacity, heard, silent);
        writeln!(table, "{name}: {after:?}").unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against entries that take a role back and forth: one that was replaced is not larger than its successor.
#[test]
fn replaced_leader_stays_follower() {
    let mut small = Seat::new(Timing::default(), 0, 120, START);
    small.read(true, START, START);
    let now = START + Duration::from_millis(900);
    small.read(true, now, now);
    assert_eq!(small.claim(now), Claim::Look);
    let now = now + READ;
    let Claim::Append(epoch) = small.claim(now) else {
        panic!("nobody else claims");
    };
    small.claimed(epoch, START);
    assert!(small.hear(record(2 << 16, 500), START + READ));
    for step in 1..200 {
        let now = now + READ * step;
        small.read(true, now, now);
        small.hear(record(2 << 16, 500), now);
        assert_eq!(small.claim(now), Claim::Wait, "after {step} reads");
    }
}

/// Guards against a claim by an entry that has not read the claim of another one, which takes the role from it at once.
#[test]
fn claim_of_another_entry_is_looked_for_first() {
    let mut seat = Seat::new(Timing::default(), 0, 250, START);
    let resigned = Heard {
        resigned: true,
        ..record(1 << 16, 250)
    };
    seat.read(true, START, START);
    seat.hear(resigned, START);
    assert_eq!(seat.claim(START), Claim::Look);
    seat.hear(record(2 << 16, 250), START + READ / 5);
    seat.read(true, START, START + READ / 5);
    assert_eq!(seat.claim(START + READ), Claim::Wait);
}

/// Guards against followers that take records from before an outage, which they read after it, for a sign of life.
#[test]
fn records_from_before_an_outage_are_no_sign_of_life() {
    let mut seat = Seat::new(Timing::default(), 0, 250, START);
    seat.read(true, START, START);
    seat.hear(record(1 << 16, 250), START);
    let back = START + Duration::from_secs(6);
    seat.hear(record(1 << 16, 250), back);
    let mut now = back;
    let mut claim = Claim::Wait;
    while !matches!(claim, Claim::Append(_)) {
        seat.read(true, now, now);
        claim = seat.claim(now);
        now = now + READ;
    }
    assert!(
        now.since(back) < Timing::default().silence,
        "{:?}",
        now.since(back)
    );
}

/// Guards against an entry that claims again and again while the record of the entry that beat it is on its way, as
/// happens when the log is slow.
#[test]
fn rejected_claim_is_not_repeated_at_once() {
    let resigned = Heard {
        resigned: true,
        ..record(1 << 16, 250)
    };
    let own_past = Heard {
        own_past: true,
        ..record(1 << 16, 250)
    };
    let mut table = String::new();
    for (name, heard) in [
        ("after a resignation", resigned),
        ("after a restart", own_past),
        ("much smaller leader", record(1 << 16, 60)),
    ] {
        let mut seat = Seat::new(Timing::default(), 0, 250, START);
        let mut now = START;
        let mut claims = Vec::new();
        while now < START + Duration::from_secs(4) {
            seat.read(true, now, now);
            if now == START {
                seat.hear(heard, now);
            }
            if let Claim::Append(_) = seat.claim(now) {
                claims.push(now.since(START).as_millis());
                seat.step_down(now);
            }
            now = now + READ;
        }
        writeln!(table, "{name}: claims at {claims:?} ms").unwrap();
    }
    insta::assert_snapshot!(table);
}
